#include "GuaranteeCheck.h"

#include <algorithm>
#include <set>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include "ScenarioHttp.h"
#include "StandinText.h"

namespace Bergamotramp {

namespace {

constexpr absl::Duration jobTimeout = absl::Seconds(120);
constexpr absl::Duration pollPeriod = absl::Milliseconds(200);

const std::string completeResponse = "each caller receives the complete response to its own request";
const std::string atMostOnce = "a non-idempotent request runs at most once";
const std::string notRun = "a rejection reported as \"not run\" is accurate";
const std::string exactlyOnce = "an accepted request, batch item or lookup completes exactly once, and its result stays readable";
const std::string cancelledStops = "a cancelled job stops";

} // namespace

GuaranteeCheck::GuaranteeCheck(Fleet &fleet, JobTracker &jobs, const CallHistory &history) : fleet(fleet), jobs(jobs), history(history)
{
}

std::vector<Violation> GuaranteeCheck::run()
{
    for (const Call &call : this->history.calls()) {
        this->checkResponses(call);
        this->checkNotRun(call);
        this->checkRunsPerKey(call);
    }
    for (const Job &job : this->jobs.all()) {
        this->checkJob(job);
    }
    return std::move(this->violations);
}

void GuaranteeCheck::addViolation(const std::string &guarantee, const std::string &subject, const std::string &detail)
{
    this->violations.push_back({guarantee, subject, detail});
}

void GuaranteeCheck::checkResponses(const Call &call)
{
    for (const CallAttempt &attempt : call.attempts) {
        if (attempt.status == 200) {
            this->checkResponse(call, attempt);
        }
    }
}

void GuaranteeCheck::checkResponse(const Call &call, const CallAttempt &attempt)
{
    if (call.plain) {
        const nlohmann::json json = nlohmann::json::parse(attempt.text, nullptr, false);
        const std::string expected = nlohmann::json{{"text", call.prompt}}.dump();
        if (attempt.complete && (!json.is_object() || json.value("body", "") != expected)) {
            this->addViolation(completeResponse, call.id, absl::StrCat("the response does not echo the request body ", expected));
        }
        return;
    }
    const std::string expected = standinAnswer(call.prompt, call.tokens);
    if (attempt.complete && attempt.text != expected) {
        this->addViolation(completeResponse, call.id, absl::StrCat("the response is not the expected text ", expected));
    } else if (!expected.starts_with(attempt.text)) {
        this->addViolation(completeResponse, call.id, absl::StrCat("the incomplete response is not a prefix of ", expected));
    }
}

// When every attempt of a call was reported as "not run", no upstream may have counted a run of it.
void GuaranteeCheck::checkNotRun(const Call &call)
{
    const bool allNotRun = !call.attempts.empty() && std::all_of(call.attempts.begin(), call.attempts.end(), [](const CallAttempt &attempt) {
        return attempt.executionState == "not_run";
    });
    if (!allNotRun) {
        return;
    }
    const std::uint64_t found = call.plain ? this->runsWithKey(call.key) : this->runsOfPrompt(call.prompt);
    if (found > 0) {
        this->addViolation(notRun, call.id, absl::StrCat("it ran ", found, " times at the upstreams"));
    }
}

void GuaranteeCheck::checkRunsPerKey(const Call &call)
{
    if (!call.plain || call.idempotent || call.key.empty()) {
        return;
    }
    const std::uint64_t found = this->runsWithKey(call.key);
    if (found > 1) {
        this->addViolation(atMostOnce, call.id, absl::StrCat("key ", call.key, " ran ", found, " times"));
    }
    if (call.completed() && found == 0) {
        this->addViolation(exactlyOnce, call.id, "it got a response with status 200 but never ran");
    }
}

std::uint64_t GuaranteeCheck::runsWithKey(const std::string &key)
{
    std::uint64_t total = 0;
    for (FleetMember *plain : this->fleet.members(MemberKind::Plain)) {
        const std::optional<ControlResponse> response = plain->responsive() ? sendControlRequest("GET", plain->address(), "/control/counts") : std::nullopt;
        total += response ? response->json().value(key, std::uint64_t{0}) : 0;
    }
    return total;
}

std::uint64_t GuaranteeCheck::runsOfPrompt(const std::string &prompt)
{
    std::uint64_t total = 0;
    const std::string path = absl::StrCat("/control/runs?hash=", standinHash(prompt));
    for (FleetMember *engine : this->fleet.members(MemberKind::Engine)) {
        const std::optional<ControlResponse> response = engine->responsive() ? sendControlRequest("GET", engine->address(), path) : std::nullopt;
        total += response ? response->json().value("runs", std::uint64_t{0}) : 0;
    }
    return total;
}

void GuaranteeCheck::checkJob(const Job &job)
{
    if (!job.acknowledged) {
        return;
    }
    this->checkFinalState(job);
    const std::optional<std::vector<nlohmann::json>> lines = this->jobs.results(job);
    if (!lines) {
        this->addViolation(exactlyOnce, job.label, "no host returns the results of the acknowledged job");
        return;
    }
    this->checkResults(job, *lines);
    if (job.cancelled && lines->size() != job.resultLinesAtCancel) {
        this->addViolation(
            cancelledStops, job.label, absl::StrCat(job.resultLinesAtCancel, " items had a result when it was cancelled, later ", lines->size()));
    }
}

void GuaranteeCheck::checkFinalState(const Job &job)
{
    const std::string expected = job.cancelled ? "cancelled" : "completed";
    const absl::Time end = absl::Now() + jobTimeout;
    nlohmann::json status;
    while (absl::Now() < end) {
        status = this->jobs.status(job);
        if (status.is_object() && status.value("state", "") == expected) {
            return;
        }
        absl::SleepFor(pollPeriod);
    }
    this->addViolation(job.cancelled ? cancelledStops : exactlyOnce, job.label, absl::StrCat("it did not reach the state ", expected, ": ", status.dump()));
}

void GuaranteeCheck::checkResults(const Job &job, const std::vector<nlohmann::json> &lines)
{
    std::set<std::int64_t> seen;
    for (const nlohmann::json &line : lines) {
        const std::string id = line.is_object() ? line.value("custom_id", "") : "";
        std::int64_t item = -1;
        if (!id.starts_with("item-") || !absl::SimpleAtoi(id.substr(5), &item) || item < 0 || item >= job.items) {
            this->addViolation(exactlyOnce, job.label, absl::StrCat("unknown result line ", line.dump()));
        } else if (!seen.insert(item).second) {
            this->addViolation(exactlyOnce, job.label, absl::StrCat("item ", item, " has more than one result"));
        } else {
            this->checkItem(job, line, item);
        }
    }
    if (!job.cancelled && seen.size() != static_cast<std::size_t>(job.items)) {
        this->addViolation(exactlyOnce, job.label, absl::StrCat(seen.size(), " of ", job.items, " items have a result"));
    }
}

void GuaranteeCheck::checkItem(const Job &job, const nlohmann::json &line, std::int64_t item)
{
    const bool shouldFail = item < job.failingItems;
    const std::string state = line.value("status", "");
    if (state != (shouldFail ? "failed" : "completed")) {
        this->addViolation(exactlyOnce, job.label, absl::StrCat("item ", item, " has the wrong status: ", line.dump()));
    } else if (!shouldFail && line.dump().find(standinAnswer(job.prompt(item), job.tokens)) == std::string::npos) {
        this->addViolation(completeResponse, job.label, absl::StrCat("item ", item, " does not contain the expected text: ", line.dump()));
    }
}

} // namespace Bergamotramp
