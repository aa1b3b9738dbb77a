#include "SoakJobs.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>

#include "StandinUpstream.h"

namespace Bergamotramp {

namespace {

constexpr absl::Duration submitPeriod = absl::Milliseconds(700);
constexpr absl::Duration readPeriod = absl::Milliseconds(400);
constexpr absl::Duration callTimeout = absl::Seconds(4);
constexpr std::size_t maxItems = 6;
// The caller cancels one job in this many.
constexpr std::uint64_t jobsPerCancellation = 6;
constexpr int itemTokens = 20;

/** The software version that the output names last. */
std::string versionOf(const std::string &output)
{
    return output.substr(output.rfind(' ') + 1);
}

std::string expectedOutput(const std::string &item, const std::string &version)
{
    std::string text;
    for (int number = 1; number <= SoakBounds::eventsPerResponse; ++number) {
        absl::StrAppend(&text, number == 1 ? "" : "\n", StandinUpstream::eventData(number), " ", item, " ", version);
    }
    return text;
}

} // namespace

SoakJobs::SoakJobs(EventLoop &loop, SoakFleet &fleet, SoakState &state, std::function<std::string()> pickAddress, std::uint64_t seed)
    : loop(loop), fleet(fleet), state(state), pickAddress(std::move(pickAddress)), random(seed), client(loop, {})
{
    this->submitNext();
}

SoakJobs::~SoakJobs()
{
    for (const auto &job : this->jobs) {
        job->call.cancel();
    }
}

std::string SoakJobs::itemId(const Job &job, std::size_t item) const
{
    return absl::StrCat(job.id, "-item-", item);
}

void SoakJobs::submitNext()
{
    this->submitTimer = this->loop.after(submitPeriod, [this] { this->submitNext(); });
    if (!this->state.accepting) {
        return;
    }
    const auto job = std::make_shared<Job>();
    job->id = absl::StrCat("job-", this->jobs.size());
    job->itemCount = 1 + this->random() % maxItems;
    job->willBeCancelled = this->random() % jobsPerCancellation == 0;
    this->jobs.push_back(job);
    this->submit(job);
}

void SoakJobs::submit(const std::shared_ptr<Job> &job)
{
    nlohmann::json items = nlohmann::json::array();
    for (std::size_t item = 0; item < job->itemCount; ++item) {
        items.push_back({{"id", this->itemId(*job, item)},
                         {"path", "/batch/x"},
                         {"headers", {{"X-Model", "m"}}},
                         {"body", absl::Base64Escape("question")},
                         {"tokens", itemTokens}});
    }
    HttpRequest request{.method = "POST",
                        .target = "/batch/submit",
                        .fields = {{"Host", SoakFleet::virtualHost}, {"X-Request-Id", job->id}, {"X-Deadline-Ms", "4000"}},
                        .body = nlohmann::json{{"items", items}}.dump()};
    this->sendCall(job, request, [this, job](int status, const nlohmann::json &) {
        this->state.report.increment(absl::StrCat("submissions ", status));
        if (status == 202) {
            job->acceptedAt = this->loop.now();
            job->timer = this->loop.after(readPeriod, [this, job] { this->readResults(job); });
        } else if (this->state.accepting) {
            job->timer = this->loop.after(readPeriod, [this, job] { this->submit(job); });
        }
    });
}

void SoakJobs::sendCall(const std::shared_ptr<Job> &job, const HttpRequest &request, ResponseHandler done)
{
    job->body.clear();
    const auto finish = [job, done = std::move(done)](int status) {
        job->timeoutTimer.cancel();
        done(status, nlohmann::json::parse(job->body, nullptr, false));
    };
    job->call = this->client.send(this->pickAddress(),
                                  request,
                                  {.matchesRequest = {},
                                   .head = [raw = job.get()](const HttpHead &head) { raw->head = head; },
                                   .body = [raw = job.get()](std::string_view bytes) { raw->body.append(bytes); },
                                   .completed = [finish, raw = job.get()] { finish(raw->head.status); },
                                   .failed = [finish](HttpCallError) { finish(0); }});
    job->timeoutTimer = this->loop.after(callTimeout, [finish, job] {
        job->call.cancel();
        finish(0);
    });
}

void SoakJobs::readResults(const std::shared_ptr<Job> &job)
{
    const std::size_t next = job->results.size();
    // One read in four repeats results that the caller has already, to check that they don't change.
    const std::size_t from = this->random() % 4 == 0 && next > 0 ? this->random() % next : next;
    const HttpRequest request{.method = "GET",
                              .target = absl::StrCat("/bergamotramp/lots/", job->id, "?after=", from),
                              .fields = {{"Host", SoakFleet::virtualHost}, {"X-Wait-Ms", "1000"}},
                              .body = {}};
    this->sendCall(job, request, [this, job, from, sentAt = this->loop.now()](int status, const nlohmann::json &page) {
        this->state.report.increment(absl::StrCat("reads ", status));
        if (status == 200) {
            this->addResults(job, from, page);
        } else if (status == 404 && sentAt > job->acceptedAt + SoakBounds::jobVisibilityTime) {
            this->state.report.recordViolation("an accepted job is there at every host", job->id);
        }
        if (job->willBeCancelled && job->results.size() * 2 >= job->itemCount && !job->cancelled) {
            this->cancelJob(job);
        } else if (job->results.size() < job->itemCount && !job->cancelled) {
            job->timer = this->loop.after(readPeriod, [this, job] { this->readResults(job); });
        }
    });
}

void SoakJobs::addResults(const std::shared_ptr<Job> &job, std::size_t from, const nlohmann::json &page)
{
    if (!page.is_object() || page.value("total", std::size_t{0}) != job->itemCount) {
        this->state.report.recordViolation("a job has the items that were submitted", job->id);
        return;
    }
    std::size_t position = from;
    for (const nlohmann::json &entry : page["results"]) {
        const Result result{.item = entry.at("id"), .output = entry.at("output")};
        const auto [known, added] = job->results.emplace(position++, result);
        if (!added && known->second != result) {
            this->state.report.recordViolation("the result at a position of a job does not change", absl::StrCat(job->id, " position ", position - 1));
        }
        if (entry.at("state") != "completed" || !SoakFleet::isSoftwareVersion(versionOf(result.output))
            || result.output != expectedOutput(result.item, versionOf(result.output)) || !result.item.starts_with(job->id + "-item-")) {
            this->state.report.recordViolation("a result contains the complete output of its item", absl::StrCat(job->id, ": ", entry.dump()));
        }
    }
    std::set<std::string> items;
    for (const auto &[number, result] : job->results) {
        if (!items.insert(result.item).second) {
            this->state.report.recordViolation("an item has at most one position in the results", absl::StrCat(job->id, ": ", result.item));
        }
    }
}

void SoakJobs::cancelJob(const std::shared_ptr<Job> &job)
{
    const HttpRequest request{.method = "DELETE",
                              .target = absl::StrCat("/bergamotramp/lots/", job->id),
                              .fields = {{"Host", SoakFleet::virtualHost}, {"X-Deadline-Ms", "4000"}},
                              .body = {}};
    this->sendCall(job, request, [this, job](int status, const nlohmann::json &) {
        this->state.report.increment(absl::StrCat("ends ", status));
        if (status == 200) {
            job->cancelled = true;
            for (std::size_t item = 0; item < job->itemCount; ++item) {
                this->state.cancelledItems.emplace(this->itemId(*job, item), this->loop.now());
            }
        } else {
            job->timer = this->loop.after(readPeriod, [this, job] { this->cancelJob(job); });
        }
    });
}

bool SoakJobs::allFinished() const
{
    return std::ranges::all_of(
        this->jobs, [](const auto &job) { return job->acceptedAt == absl::InfiniteFuture() || job->cancelled || job->results.size() == job->itemCount; });
}

void SoakJobs::checkFinished() const
{
    for (const auto &job : this->jobs) {
        if (job->acceptedAt < absl::InfiniteFuture() && !job->cancelled && job->results.size() < job->itemCount) {
            this->state.report.recordViolation("every accepted item is finished", absl::StrCat(job->id, " has ", job->results.size(), " of ", job->itemCount));
        }
        this->state.report.increment("jobs");
    }
}

} // namespace Bergamotramp
