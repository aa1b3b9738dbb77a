#include "SoakJobs.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>

#include "StreamUpstream.h"

namespace Bergamotramp {

namespace {

constexpr absl::Duration submitPeriod = absl::Milliseconds(700);
constexpr absl::Duration readPeriod = absl::Milliseconds(400);
constexpr absl::Duration callLimit = absl::Seconds(4);
constexpr std::size_t maxItems = 6;
// One job in this many is ended by its caller.
constexpr std::uint64_t endedShare = 6;
constexpr int itemTokens = 20;

std::string wholeOutput(const std::string &item)
{
    std::string text;
    for (int number = 1; number <= SoakBounds::events; ++number) {
        absl::StrAppend(&text, number == 1 ? "" : "\n", StreamUpstream::eventData(number), " ", item);
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
    job->items = 1 + this->random() % maxItems;
    job->ending = this->random() % endedShare == 0;
    this->jobs.push_back(job);
    this->submit(job);
}

void SoakJobs::submit(const std::shared_ptr<Job> &job)
{
    nlohmann::json items = nlohmann::json::array();
    for (std::size_t item = 0; item < job->items; ++item) {
        items.push_back({{"id", this->itemId(*job, item)},
                         {"path", "/batch/x"},
                         {"headers", {{"X-Model", "m"}}},
                         {"body", absl::Base64Escape("question")},
                         {"tokens", itemTokens}});
    }
    HttpRequest request{.method = "POST",
                        .target = "/batch/submit",
                        .fields = {{"Host", SoakFleet::callerHost}, {"X-Request-Id", job->id}, {"X-Deadline-Ms", "4000"}},
                        .body = nlohmann::json{{"items", items}}.dump()};
    this->call(job, request, [this, job](int status, const nlohmann::json &) {
        this->state.report.count(absl::StrCat("submissions ", status));
        if (status == 202) {
            job->accepted = this->loop.now();
            job->timer = this->loop.after(readPeriod, [this, job] { this->read(job); });
        } else if (this->state.accepting) {
            job->timer = this->loop.after(readPeriod, [this, job] { this->submit(job); });
        }
    });
}

void SoakJobs::call(const std::shared_ptr<Job> &job, const HttpRequest &request, Answer done)
{
    job->body.clear();
    const auto finish = [job, done = std::move(done)](int status) {
        job->limit.cancel();
        done(status, nlohmann::json::parse(job->body, nullptr, false));
    };
    job->call = this->client.send(this->pickAddress(),
                                  request,
                                  {.belongs = {},
                                   .head = [raw = job.get()](const HttpHead &head) { raw->head = head; },
                                   .body = [raw = job.get()](std::string_view bytes) { raw->body.append(bytes); },
                                   .completed = [finish, raw = job.get()] { finish(raw->head.status); },
                                   .failed = [finish](HttpCallError) { finish(0); }});
    job->limit = this->loop.after(callLimit, [finish, job] {
        job->call.cancel();
        finish(0);
    });
}

void SoakJobs::read(const std::shared_ptr<Job> &job)
{
    const std::size_t next = job->results.size();
    // Callers read again from an earlier position now and then.
    const std::size_t from = this->random() % 4 == 0 && next > 0 ? this->random() % next : next;
    const HttpRequest request{.method = "GET",
                              .target = absl::StrCat("/bergamotramp/lots/", job->id, "?after=", from),
                              .fields = {{"Host", SoakFleet::callerHost}, {"X-Wait-Ms", "1000"}},
                              .body = {}};
    this->call(job, request, [this, job, from, sent = this->loop.now()](int status, const nlohmann::json &page) {
        this->state.report.count(absl::StrCat("reads ", status));
        if (status == 200) {
            this->take(job, from, page);
        } else if (status == 404 && sent > job->accepted + SoakBounds::jobVisible) {
            this->state.report.broken("an accepted job is there at every host", job->id);
        }
        if (job->ending && job->results.size() * 2 >= job->items && !job->ended) {
            this->end(job);
        } else if (job->results.size() < job->items && !job->ended) {
            job->timer = this->loop.after(readPeriod, [this, job] { this->read(job); });
        }
    });
}

void SoakJobs::take(const std::shared_ptr<Job> &job, std::size_t from, const nlohmann::json &page)
{
    if (!page.is_object() || page.value("total", std::size_t{0}) != job->items) {
        this->state.report.broken("a job has the items that were submitted", job->id);
        return;
    }
    std::size_t position = from;
    for (const nlohmann::json &entry : page["results"]) {
        const Result result{.item = entry.at("id"), .output = entry.at("output")};
        const auto [known, added] = job->results.emplace(position++, result);
        if (!added && known->second != result) {
            this->state.report.broken("a position keeps its result", absl::StrCat(job->id, " position ", position - 1));
        }
        if (entry.at("state") != "completed" || result.output != wholeOutput(result.item) || !result.item.starts_with(job->id + "-item-")) {
            this->state.report.broken("a result is the whole output of its item", absl::StrCat(job->id, ": ", entry.dump()));
        }
    }
    std::set<std::string> items;
    for (const auto &[number, result] : job->results) {
        if (!items.insert(result.item).second) {
            this->state.report.broken("an item has one position", absl::StrCat(job->id, ": ", result.item));
        }
    }
}

void SoakJobs::end(const std::shared_ptr<Job> &job)
{
    const HttpRequest request{.method = "DELETE",
                              .target = absl::StrCat("/bergamotramp/lots/", job->id),
                              .fields = {{"Host", SoakFleet::callerHost}, {"X-Deadline-Ms", "4000"}},
                              .body = {}};
    this->call(job, request, [this, job](int status, const nlohmann::json &) {
        this->state.report.count(absl::StrCat("ends ", status));
        if (status == 200) {
            job->ended = true;
            for (std::size_t item = 0; item < job->items; ++item) {
                this->state.endedItems.emplace(this->itemId(*job, item), this->loop.now());
            }
        } else {
            job->timer = this->loop.after(readPeriod, [this, job] { this->end(job); });
        }
    });
}

bool SoakJobs::allFinished() const
{
    return std::ranges::all_of(this->jobs,
                               [](const auto &job) { return job->accepted == absl::InfiniteFuture() || job->ended || job->results.size() == job->items; });
}

void SoakJobs::checkFinished() const
{
    for (const auto &job : this->jobs) {
        if (job->accepted < absl::InfiniteFuture() && !job->ended && job->results.size() < job->items) {
            this->state.report.broken("every accepted item is finished", absl::StrCat(job->id, " has ", job->results.size(), " of ", job->items));
        }
        this->state.report.count("jobs");
    }
}

} // namespace Bergamotramp
