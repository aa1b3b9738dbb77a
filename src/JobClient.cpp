#include "JobClient.h"

#include <algorithm>

#include <absl/container/flat_hash_set.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

namespace Bergamotramp {

namespace {

// A job is acknowledged only after its input is stored durably, which takes seconds for a large file.
constexpr absl::Duration submitTimeout = absl::Seconds(60);
constexpr const char *jobsPath = "/v1/batches";

std::int64_t firstInteger(const nlohmann::json &json, std::initializer_list<const char *> names)
{
    for (const char *name : names) {
        const auto found = json.find(name);
        if (found != json.end() && found->is_number_integer()) {
            return found->get<std::int64_t>();
        }
    }
    return 0;
}

std::string firstString(const nlohmann::json &json, std::initializer_list<const char *> names)
{
    for (const char *name : names) {
        const auto found = json.find(name);
        if (found != json.end() && found->is_string()) {
            return found->get<std::string>();
        }
    }
    return "";
}

std::string validateJobLine(const std::string &line, absl::flat_hash_set<std::string> &seenIds)
{
    const nlohmann::json json = nlohmann::json::parse(line, nullptr, false);
    if (!json.is_object()) {
        return "is not a JSON object";
    }
    if (!json.contains("custom_id") || !json["custom_id"].is_string()) {
        return "custom_id: must be a string";
    }
    if (!json.contains("body") || !json["body"].is_object()) {
        return "body: must be an object";
    }
    const std::string id = json["custom_id"];
    return seenIds.insert(id).second ? "" : absl::StrCat("custom_id: \"", id, "\" is used twice");
}

} // namespace

bool JobReport::ended() const
{
    return this->state == "completed" || this->state == "cancelled" || this->state == "failed" || this->state == "expired";
}

JobReport JobReport::fromJson(const nlohmann::json &json)
{
    if (!json.is_object()) {
        throw CliError(ExitCode::Failed, "the job in the response is not a JSON object");
    }
    JobReport report;
    report.id = firstString(json, {"id"});
    report.state = firstString(json, {"state", "status"});
    const nlohmann::json counts = json.contains("request_counts") ? json["request_counts"] : json.value("counts", json);
    report.total = firstInteger(counts, {"total", "items"});
    report.completed = firstInteger(counts, {"completed", "done", "succeeded"});
    report.failed = firstInteger(counts, {"failed"});
    if (report.id.empty() || report.state.empty()) {
        throw CliError(ExitCode::Failed, absl::StrCat("the job in the response has no id or state: ", json.dump().substr(0, 200)));
    }
    return report;
}

nlohmann::json JobReport::toJson() const
{
    return {{"id", this->id}, {"state", this->state}, {"total", this->total}, {"completed", this->completed}, {"failed", this->failed}};
}

JobClient::JobClient(HostClient &hosts, std::string organisation) : hosts(hosts), organisation(std::move(organisation))
{
}

JobReport JobClient::submit(const JobSubmission &submission)
{
    const std::string due = submission.dueSeconds > 0 ? absl::StrCat("&due_seconds=", submission.dueSeconds) : "";
    UpstreamCall call = this->buildCall("POST", absl::StrCat(jobsPath, "?service=", percentEncode(submission.service), due));
    call.headers.emplace_back("Idempotency-Key", submission.key);
    call.contentType = "application/jsonl";
    call.body = submission.body;
    call.silenceTimeout = submitTimeout;
    return JobReport::fromJson(requireJson(this->hosts.call(call, true)));
}

JobReport JobClient::status(const std::string &id)
{
    return JobReport::fromJson(requireJson(this->hosts.call(this->buildCall("GET", absl::StrCat(jobsPath, "/", percentEncode(id))), true)));
}

JobReport JobClient::cancel(const std::string &id)
{
    // Cancelling is idempotent, so the call may be sent again.
    return JobReport::fromJson(requireJson(this->hosts.call(this->buildCall("POST", absl::StrCat(jobsPath, "/", percentEncode(id), "/cancel")), true)));
}

std::string JobClient::results(const std::string &id)
{
    const HostReply reply = this->hosts.call(this->buildCall("GET", absl::StrCat(jobsPath, "/", percentEncode(id), "/results")), true);
    if (!reply.succeeded()) {
        throw makeCliError(reply);
    }
    return reply.body;
}

nlohmann::json JobClient::list()
{
    return requireJson(this->hosts.call(this->buildCall("GET", jobsPath), true));
}

UpstreamCall JobClient::buildCall(const std::string &method, const std::string &path) const
{
    UpstreamCall call;
    call.method = method;
    call.path = path;
    if (!this->organisation.empty()) {
        call.headers.emplace_back("X-Organisation", this->organisation);
    }
    return call;
}

std::vector<std::string> validateJobFile(const std::string &text, std::size_t limit)
{
    std::vector<std::string> problems;
    absl::flat_hash_set<std::string> seenIds;
    std::size_t number = 0;
    for (const auto &part : absl::StrSplit(text, '\n')) {
        ++number;
        const std::string line(part.data(), part.size());
        if (line.empty()) {
            continue;
        }
        const std::string problem = validateJobLine(line, seenIds);
        if (!problem.empty()) {
            problems.push_back(absl::StrCat("line ", number, ": ", problem));
        }
        if (problems.size() == limit) {
            return problems;
        }
    }
    if (seenIds.empty() && problems.empty()) {
        problems.emplace_back("contains no items");
    }
    return problems;
}

} // namespace Bergamotramp
