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

constexpr absl::Duration jobLimit = absl::Seconds(120);
constexpr absl::Duration pollPeriod = absl::Milliseconds(200);

const std::string wholeAnswer = "each caller receives the complete response to its own request";
const std::string atMostOnce = "a non-idempotent request runs at most once";
const std::string notRun = "a rejection reported as \"not run\" is accurate";
const std::string exactlyOnce = "an accepted request, batch item or lookup completes exactly once, and its result stays readable";
const std::string cancelledStops = "a cancelled job stops";

} // namespace

GuaranteeCheck::GuaranteeCheck(Fleet &fleet, JobBook &jobs, const CallHistory &history) : fleet(fleet), jobs(jobs), history(history)
{
}

std::vector<Violation> GuaranteeCheck::run()
{
    for (const Call &call : this->history.calls()) {
        this->checkAnswers(call);
        this->checkNotRun(call);
        this->checkPostings(call);
    }
    for (const Job &job : this->jobs.all()) {
        this->checkJob(job);
    }
    return std::move(this->violations);
}

void GuaranteeCheck::add(const std::string &guarantee, const std::string &subject, const std::string &detail)
{
    this->violations.push_back({guarantee, subject, detail});
}

void GuaranteeCheck::checkAnswers(const Call &call)
{
    for (const CallAnswer &answer : call.answers) {
        if (answer.status == 200) {
            this->checkAnswer(call, answer);
        }
    }
}

void GuaranteeCheck::checkAnswer(const Call &call, const CallAnswer &answer)
{
    if (call.plain) {
        const nlohmann::json json = nlohmann::json::parse(answer.text, nullptr, false);
        const std::string expected = nlohmann::json{{"text", call.prompt}}.dump();
        if (answer.whole && (!json.is_object() || json.value("body", "") != expected)) {
            this->add(wholeAnswer, call.id, absl::StrCat("the answer is not that of its body ", expected));
        }
        return;
    }
    const std::string expected = standinAnswer(call.prompt, call.tokens);
    if (answer.whole && answer.text != expected) {
        this->add(wholeAnswer, call.id, absl::StrCat("expected ", expected));
    } else if (!expected.starts_with(answer.text)) {
        this->add(wholeAnswer, call.id, absl::StrCat("the broken answer doesn't belong to ", expected));
    }
}

// A call whose every answer says "not run" must have left no trace at any upstream.
void GuaranteeCheck::checkNotRun(const Call &call)
{
    const bool allNotRun =
        !call.answers.empty() && std::all_of(call.answers.begin(), call.answers.end(), [](const CallAnswer &answer) { return answer.state == "not_run"; });
    if (!allNotRun) {
        return;
    }
    const std::uint64_t found = call.plain ? this->postings(call.key) : this->runs(call.prompt);
    if (found > 0) {
        this->add(notRun, call.id, absl::StrCat("it ran ", found, " times"));
    }
}

void GuaranteeCheck::checkPostings(const Call &call)
{
    if (!call.plain || call.idempotent || call.key.empty()) {
        return;
    }
    const std::uint64_t found = this->postings(call.key);
    if (found > 1) {
        this->add(atMostOnce, call.id, absl::StrCat("key ", call.key, " was posted ", found, " times"));
    }
    if (call.completed() && found == 0) {
        this->add(exactlyOnce, call.id, "it was answered but never posted");
    }
}

std::uint64_t GuaranteeCheck::postings(const std::string &key)
{
    std::uint64_t total = 0;
    for (Member *plain : this->fleet.members(MemberKind::Plain)) {
        const std::optional<HttpAnswer> answer = plain->responsive() ? httpCall("GET", plain->address(), "/control/counts") : std::nullopt;
        total += answer ? answer->json().value(key, std::uint64_t{0}) : 0;
    }
    return total;
}

std::uint64_t GuaranteeCheck::runs(const std::string &prompt)
{
    std::uint64_t total = 0;
    const std::string path = absl::StrCat("/control/runs?hash=", standinHash(prompt));
    for (Member *engine : this->fleet.members(MemberKind::Engine)) {
        const std::optional<HttpAnswer> answer = engine->responsive() ? httpCall("GET", engine->address(), path) : std::nullopt;
        total += answer ? answer->json().value("runs", std::uint64_t{0}) : 0;
    }
    return total;
}

void GuaranteeCheck::checkJob(const Job &job)
{
    if (!job.acknowledged) {
        return;
    }
    this->checkEnd(job);
    const std::optional<std::vector<nlohmann::json>> lines = this->jobs.results(job);
    if (!lines) {
        this->add(exactlyOnce, job.label, "no host gives the results of the acknowledged job");
        return;
    }
    this->checkResults(job, *lines);
    if (job.cancelled && lines->size() != job.linesAtCancel) {
        this->add(cancelledStops, job.label, absl::StrCat(job.linesAtCancel, " items had ended when it was cancelled, later ", lines->size()));
    }
}

void GuaranteeCheck::checkEnd(const Job &job)
{
    const std::string expected = job.cancelled ? "cancelled" : "completed";
    const absl::Time end = absl::Now() + jobLimit;
    nlohmann::json status;
    while (absl::Now() < end) {
        status = this->jobs.status(job);
        if (status.is_object() && status.value("state", "") == expected) {
            return;
        }
        absl::SleepFor(pollPeriod);
    }
    this->add(job.cancelled ? cancelledStops : exactlyOnce, job.label, absl::StrCat("it doesn't reach the state ", expected, ": ", status.dump()));
}

void GuaranteeCheck::checkResults(const Job &job, const std::vector<nlohmann::json> &lines)
{
    std::set<std::int64_t> seen;
    for (const nlohmann::json &line : lines) {
        const std::string id = line.is_object() ? line.value("custom_id", "") : "";
        std::int64_t item = -1;
        if (!id.starts_with("item-") || !absl::SimpleAtoi(id.substr(5), &item) || item < 0 || item >= job.items) {
            this->add(exactlyOnce, job.label, absl::StrCat("unknown result line ", line.dump()));
        } else if (!seen.insert(item).second) {
            this->add(exactlyOnce, job.label, absl::StrCat("item ", item, " has more than one result"));
        } else {
            this->checkItem(job, line, item);
        }
    }
    if (!job.cancelled && seen.size() != static_cast<std::size_t>(job.items)) {
        this->add(exactlyOnce, job.label, absl::StrCat(seen.size(), " of ", job.items, " items have a result"));
    }
}

void GuaranteeCheck::checkItem(const Job &job, const nlohmann::json &line, std::int64_t item)
{
    const bool failing = item < job.failing;
    const std::string state = line.value("status", "");
    if (state != (failing ? "failed" : "completed")) {
        this->add(exactlyOnce, job.label, absl::StrCat("item ", item, " ended wrongly: ", line.dump()));
    } else if (!failing && line.dump().find(standinAnswer(job.prompt(item), job.tokens)) == std::string::npos) {
        this->add(wholeAnswer, job.label, absl::StrCat("item ", item, " has another answer: ", line.dump()));
    }
}

} // namespace Bergamotramp
