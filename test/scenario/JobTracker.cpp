#include "JobTracker.h"

#include <httplib.h>

#include <absl/strings/str_cat.h>

#include "StandinText.h"

namespace Bergamotramp {

namespace {

// A host writes every segment of a job to the store before it acknowledges the job, which takes long for large jobs.
constexpr time_t submitTimeoutSeconds = 90;
constexpr time_t readTimeoutSeconds = 20;

} // namespace

std::string Job::prompt(std::int64_t item) const
{
    return absl::StrCat("job ", this->label, " item ", item, item < this->failingItems ? std::string(failMarker) : "");
}

std::string Job::body() const
{
    std::string text;
    for (std::int64_t item = 0; item < this->items; ++item) {
        const nlohmann::json body = {{"model", this->service}, {"prompt", this->prompt(item)}, {"max_tokens", this->tokens}};
        text += nlohmann::json{{"custom_id", absl::StrCat("item-", item)}, {"body", body}}.dump() + "\n";
    }
    return text;
}

JobTracker::JobTracker(Fleet &fleet, CallHistory &history) : fleet(fleet), history(history)
{
}

Job &JobTracker::add(Job job)
{
    const std::string label = job.label;
    return this->jobs[label] = std::move(job);
}

Job &JobTracker::find(const std::string &label)
{
    const auto found = this->jobs.find(label);
    if (found == this->jobs.end()) {
        throw ScenarioError(absl::StrCat("no job is named ", label));
    }
    return found->second;
}

bool JobTracker::has(const std::string &label) const
{
    return this->jobs.contains(label);
}

std::vector<Job> JobTracker::all() const
{
    std::vector<Job> result;
    for (const auto &[label, job] : this->jobs) {
        result.push_back(job);
    }
    return result;
}

bool JobTracker::submit(Job &job, const std::string &host)
{
    httplib::Client client("http://" + this->fleet.member(host).address());
    client.set_read_timeout(submitTimeoutSeconds);
    const httplib::Headers headers = {{"Idempotency-Key", job.key}};
    const httplib::Result result = client.Post("/v1/batches?service=" + job.service, headers, job.body(), "application/jsonl");
    job.submissionStatus = result ? result->status : 0;
    const nlohmann::json json = result ? nlohmann::json::parse(result->body, nullptr, false) : nlohmann::json();
    this->history.recordEvent(
        absl::StrCat("job ", job.label, " submitted to ", host, ": status ", job.submissionStatus, " ", result ? result->body : "no response"));
    job.submissionErrorState = json.is_object() && json.contains("error") ? json["error"].value("state", "") : "";
    if (job.submissionStatus != 200 || !json.is_object()) {
        return false;
    }
    const std::string id = json.value("id", "");
    if (job.acknowledged && job.id != id) {
        throw ScenarioError(absl::StrCat("job ", job.label, " was acknowledged twice with different ids: ", job.id, " and ", id));
    }
    job.acknowledged = true;
    job.id = id;
    return true;
}

bool JobTracker::cancel(const std::string &label, const std::string &host)
{
    Job &job = this->find(label);
    httplib::Client client("http://" + this->fleet.member(host).address());
    client.set_read_timeout(submitTimeoutSeconds);
    const httplib::Result result = client.Post("/v1/batches/" + job.id + "/cancel", "", "application/json");
    this->history.recordEvent(absl::StrCat("job ", label, " cancelled at ", host, ": status ", result ? result->status : 0));
    if (!result || result->status != 200) {
        return false;
    }
    const std::optional<std::vector<nlohmann::json>> lines = this->results(job);
    if (!lines) {
        throw ScenarioError(absl::StrCat("no host returns the results of job ", label));
    }
    job.cancelled = true;
    job.resultLinesAtCancel = lines->size();
    return true;
}

std::string JobTracker::getFromAnyHost(const std::string &path, std::string &body)
{
    for (FleetMember *host : this->fleet.members(MemberKind::Host)) {
        if (!host->responsive()) {
            continue;
        }
        httplib::Client client("http://" + host->address());
        client.set_read_timeout(readTimeoutSeconds);
        const httplib::Result result = client.Get(path);
        if (result && result->status == 200) {
            body = result->body;
            return host->name;
        }
    }
    return "";
}

nlohmann::json JobTracker::status(const Job &job)
{
    std::string body;
    if (this->getFromAnyHost("/v1/batches/" + job.id, body).empty()) {
        return nullptr;
    }
    const nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
    return json.is_object() ? json : nlohmann::json();
}

std::optional<std::vector<nlohmann::json>> JobTracker::results(const Job &job)
{
    std::string body;
    if (this->getFromAnyHost("/v1/batches/" + job.id + "/results", body).empty()) {
        return std::nullopt;
    }
    std::vector<nlohmann::json> lines;
    for (const std::string &line : splitList(body, '\n')) {
        lines.push_back(nlohmann::json::parse(line, nullptr, false));
    }
    return lines;
}

} // namespace Bergamotramp
