#include "JobService.h"

#include <optional>

#include <fcntl.h>

#include <gtest/gtest.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include "InMemoryObjectStore.h"
#include "LoopRunner.h"

namespace Bergamotramp {

namespace {

constexpr const char *jobId = "job-1";
constexpr const char *thisHost = "host-a";
constexpr const char *otherHost = "host-b";
constexpr const char *resultsKind = "job-results";
constexpr absl::Duration tickPeriod = absl::Milliseconds(40);
// The next runner of a job stores no results until this long after its fence.
constexpr absl::Duration successorDelay = ResultLease::successorDelay;

/** One host that answers reads of a job; the test writes to the store what another host writes. */
class JobReadTest : public testing::Test
{
protected:
    struct ReadAnswer {
        JobLookup lookup;
        JobPage page;
    };

    JobReadTest()
    {
        this->upstreams.put({.id = "upstream-1", .service = "model", .address = "127.0.0.1:1", .dataCentre = "a", .slots = 8});
    }

    [[nodiscard]] static SubmittedJob submission()
    {
        SubmittedJob job{.id = jobId, .items = {}};
        for (int number = 0; number < 3; ++number) {
            job.items.push_back({.id = absl::StrCat("item-", number), .path = "/batch/x", .fields = {}, .body = "body", .tokens = 10});
        }
        return job;
    }

    [[nodiscard]] static Route route()
    {
        return {
            .name = "batch", .host = "site.example", .pathPrefix = "/batch/", .kind = RouteKind::Batch, .targets = {{.service = "model"}}, .maxAttempts = 3};
    }

    /** From now on items are given up as soon as they would be started. */
    void giveUpItems()
    {
        auto expiring = std::make_shared<RoutingConfig>();
        Route batch = route();
        batch.jobDue = absl::Seconds(18);
        batch.jobRetention = absl::ZeroDuration();
        expiring->routes.add(batch);
        this->config = expiring;
    }

    void submitJob()
    {
        std::optional<SubmitResult> result;
        this->jobs.submit(
            submission(), route(), {.virtualHost = "site.example"}, this->loop.now() + absl::Seconds(3), [&result](SubmitResult value) { result = value; });
        ASSERT_TRUE(runUntil(this->loop, [&result] { return result.has_value(); }));
        ASSERT_EQ(result, SubmitResult::Accepted);
    }

    /** Writes a job that another host has accepted, and reports it to this host. */
    void writeJobOfOtherHost()
    {
        JobArchive(this->store).writeItems(submission(), [](StoreResult, std::size_t) {});
        runFor(this->loop, absl::Milliseconds(10));
        const JobRecord header{.id = jobId,
                               .virtualHost = "site.example",
                               .pathPrefix = "/batch/",
                               .owner = otherHost,
                               .submitted = this->loop.now(),
                               .tokens = 30,
                               .items = 3,
                               .inputParts = 1};
        this->jobs.changeHeader({.removed = false, .object = this->store.write(JobArchive::headerKind, jobId, header.toJson())});
    }

    void writeProgress(const JobProgress &progress)
    {
        const nlohmann::json content = this->store.object(JobArchive::headerKind, jobId).content;
        this->store.write(JobArchive::headerKind, jobId, content, progress.toJson());
    }

    /** Stores the job's progress and reports it to this host, as the watch of the store does. */
    void changeProgress(const JobProgress &progress)
    {
        this->writeProgress(progress);
        this->jobs.changeHeader({.removed = false, .object = this->store.object(JobArchive::headerKind, jobId)});
    }

    /** Writes the fence of the other host after the existing result objects, and one result. */
    void writeResultsOfOtherHost()
    {
        const auto write = [this](const ResultObject &object) {
            this->store.write(resultsKind, absl::StrFormat("%s.%05d", jobId, this->store.count(resultsKind)), resultObjectToJson(otherHost, object));
        };
        write({});
        write({.results = {{.itemId = "item-0", .completed = true, .output = "output"}}});
    }

    void runTicks(absl::Duration duration)
    {
        for (absl::Duration elapsed; elapsed < duration; elapsed += tickPeriod) {
            this->jobs.tick();
            runFor(this->loop, tickPeriod);
        }
    }

    ReadAnswer readResults(absl::Duration wait = absl::ZeroDuration())
    {
        std::optional<ReadAnswer> answer;
        this->jobs.read(jobId, 0, wait, [&answer](JobLookup lookup, const JobPage &page) { answer = {.lookup = lookup, .page = page}; });
        EXPECT_TRUE(runUntil(this->loop, [&answer] { return answer.has_value(); }));
        return answer.value_or(ReadAnswer{.lookup = JobLookup::Unknown, .page = {}});
    }

    EventLoop loop;
    JsonLog log{this->loop, thisHost, open("/dev/null", O_WRONLY)};
    InMemoryObjectStore store{this->loop};
    UpstreamTable upstreams;
    FleetLoad load;
    UpstreamHealth health;
    UpstreamSelector selector{this->upstreams, this->load, this->health, {.dataCentre = "a", .region = "r", .regionByDataCentre = {}}, [] { return 0.5; }};
    HttpClient client{this->loop, {}};
    EntryMetrics metrics;
    ServingProtocol protocol;
    /** Null until giveUpItems(), so that no items are started. */
    std::shared_ptr<const RoutingConfig> config;
    CollectedBytes collectedBytes;
    JobService jobs{JobContext{.attempts = {.loop = this->loop,
                                            .client = this->client,
                                            .load = this->load,
                                            .health = this->health,
                                            .protocol = this->protocol,
                                            .collectedBytes = this->collectedBytes},
                               .store = this->store,
                               .choice = this->selector,
                               .upstreams = this->upstreams,
                               .log = this->log,
                               .metrics = this->metrics,
                               .host = thisHost,
                               .writerId = absl::StrCat(thisHost, ".1"),
                               .config = [this] { return this->config; },
                               .selectRunningHost = [](const std::string &, const std::string &runner) { return runner; },
                               .takeoverRank = [](const std::string &, const std::string &) { return std::nullopt; },
                               .reportUnansweredCall = [] {},
                               .loadAge = [] { return absl::ZeroDuration(); }}};
};

// Guards against results that were read at one host and are missing at another: the answer to a runner's fence was lost, the job went
// to another host and came back, and the runner took its old fence, behind which the other host had stored results, for a new one.
TEST_F(JobReadTest, fenceOfAnEarlierRunDoesNotHideLaterResults)
{
    this->writeJobOfOtherHost();
    this->changeProgress({.runner = thisHost});
    this->jobs.tick();
    runFor(this->loop, tickPeriod);
    this->store.setReplies(InMemoryObjectStore::Replies::Lost);
    this->jobs.tick();
    runFor(this->loop, tickPeriod);
    this->store.setReplies(InMemoryObjectStore::Replies::Delivered);
    ASSERT_EQ(this->store.count(resultsKind), 1U) << "the fence is stored, its answer is lost";
    this->changeProgress({.runner = otherHost});
    this->writeResultsOfOtherHost();
    this->changeProgress({.runner = thisHost});
    this->runTicks(absl::Milliseconds(500));
    EXPECT_EQ(this->readResults().page.results.size(), 1U);
}

// Guards against results that are missing at the host which accepted the job, when the store's answer to the acceptance arrives only
// after another host has taken the job over, and the job comes back later.
TEST_F(JobReadTest, lateAcceptanceDoesNotHideResultsOfTheNextRunner)
{
    this->store.setReplies(InMemoryObjectStore::Replies::Held);
    this->jobs.submit(submission(), route(), {.virtualHost = "site.example"}, this->loop.now() + absl::Seconds(3), [](SubmitResult) {});
    this->store.releaseReplies();
    ASSERT_TRUE(runUntil(this->loop, [this] { return this->store.contains(JobArchive::headerKind, jobId); }));
    this->changeProgress({.runner = otherHost});
    this->writeResultsOfOtherHost();
    this->store.setReplies(InMemoryObjectStore::Replies::Delivered);
    this->store.releaseReplies();
    runFor(this->loop, tickPeriod);
    this->writeProgress({.runner = thisHost});
    this->jobs.changeHeader({.removed = false, .object = this->store.object(JobArchive::headerKind, jobId)});
    EXPECT_EQ(this->readResults().page.results.size(), 1U);
}

// Guards against a former runner that has not learned of the takeover and answers that there are no results although the next runner
// has stored some.
TEST_F(JobReadTest, formerRunnerFindsTheResultsOfTheNextOne)
{
    this->submitJob();
    EXPECT_TRUE(this->readResults().page.results.empty());
    this->writeProgress({.runner = otherHost});
    runFor(this->loop, successorDelay);
    this->writeResultsOfOtherHost();
    EXPECT_EQ(this->readResults().page.results.size(), 1U);
}

// The same for a read that was waiting for results when the next runner stored them.
TEST_F(JobReadTest, readThatWaitsAtAFormerRunnerFindsTheResultsOfTheNextOne)
{
    this->submitJob();
    const LoopTimer stored = this->loop.after(successorDelay, [this] { this->writeResultsOfOtherHost(); });
    EXPECT_EQ(this->readResults(successorDelay + absl::Milliseconds(300)).page.results.size(), 1U);
}

// Guards against results that every host shows but the one that runs the job: the answer to their storing was lost, and the job was
// cancelled before the call could be repeated.
TEST_F(JobReadTest, resultsOfACancelledJobAreReadAlthoughTheAnswerToTheirStoringWasLost)
{
    this->submitJob();
    this->giveUpItems();
    this->store.setReplies(InMemoryObjectStore::Replies::Lost);
    this->runTicks(absl::Milliseconds(100));
    this->store.setReplies(InMemoryObjectStore::Replies::Delivered);
    ASSERT_EQ(this->store.count(resultsKind), 1U) << "the results are stored, the answer is lost";
    this->changeProgress({.cancelled = true});
    EXPECT_EQ(this->readResults().page.results.size(), 3U);
}

// Guards against a read that joins a load in progress, which has looked for results before they were stored and shown elsewhere.
TEST_F(JobReadTest, readDoesNotRelyOnALoadThatBeganBeforeIt)
{
    this->writeJobOfOtherHost();
    this->store.setReplies(InMemoryObjectStore::Replies::Held);
    this->jobs.read(jobId, 0, absl::ZeroDuration(), [](JobLookup, const JobPage &) {});
    ASSERT_EQ(this->store.heldReplies(), 1U);
    runFor(this->loop, absl::Milliseconds(1));
    this->writeResultsOfOtherHost();
    this->store.setReplies(InMemoryObjectStore::Replies::Delivered);
    const LoopTimer released = this->loop.after(absl::Milliseconds(1), [this] { this->store.releaseReplies(); });
    EXPECT_EQ(this->readResults().page.results.size(), 1U);
}

// Guards against a host that restarts, does not know yet that another one has taken its job over, and stores results while that one still
// answers from memory that there are none.
TEST_F(JobReadTest, restartedOwnerWaitsForTheLeaseOfAnUnknownRunner)
{
    this->writeJobOfOtherHost();
    nlohmann::json content = this->store.object(JobArchive::headerKind, jobId).content;
    content["owner"] = thisHost;
    this->jobs.changeHeader({.removed = false, .object = this->store.write(JobArchive::headerKind, jobId, content)});
    this->giveUpItems();
    const absl::Time begun = this->loop.now();
    this->runTicks(absl::Milliseconds(200));
    ASSERT_EQ(this->store.count(resultsKind), 1U) << "the fence";
    this->runTicks(ResultLease::length + absl::Milliseconds(300));
    ASSERT_EQ(this->store.count(resultsKind), 2U);
    // Ticks take longer than their period on a busy machine, so the store tells when the results were written.
    EXPECT_GE(this->store.lastCreated(resultsKind), begun + ResultLease::length) << "the other host may have renewed its lease right before the fence";
}

// Guards against a cancellation by a host that has not learned of a takeover and writes the former runner back, so that the present runner
// is not notified and runs items of the cancelled job for seconds.
TEST_F(JobReadTest, cancellationKeepsTheRunnerThatItFindsInTheStore)
{
    this->writeJobOfOtherHost();
    this->writeProgress({.runner = "host-c"});
    std::optional<JobLookup> lookup;
    this->jobs.cancel(jobId, this->loop.now() + absl::Seconds(1), [&lookup](JobLookup result) { lookup = result; });
    ASSERT_TRUE(runUntil(this->loop, [&lookup] { return lookup.has_value(); }));
    const JobProgress stored = JobProgress::fromJson(this->store.object(JobArchive::headerKind, jobId).status);
    EXPECT_EQ(stored, (JobProgress{.cancelled = true, .runner = "host-c"}));
}

// Guards against the late answer to an older load that ends a newer one before it has found the results.
TEST_F(JobReadTest, answerToAnOlderLoadDoesNotEndANewerOne)
{
    this->writeJobOfOtherHost();
    this->writeResultsOfOtherHost();
    ASSERT_EQ(this->readResults().page.results.size(), 1U);
    this->store.setReplies(InMemoryObjectStore::Replies::Held);
    this->jobs.read(jobId, 1, absl::ZeroDuration(), [](JobLookup, const JobPage &) {});
    const ObjectRecord header = this->store.object(JobArchive::headerKind, jobId);
    this->jobs.changeHeader({.removed = true, .object = header});
    this->jobs.changeHeader({.removed = false, .object = header});
    const LoopTimer released = this->loop.after(absl::Milliseconds(10), [this] {
        this->store.setReplies(InMemoryObjectStore::Replies::Delivered);
        this->store.releaseReplies();
    });
    EXPECT_EQ(this->readResults().page.results.size(), 1U);
}

// Guards against an answer without results from a look at the store that has become old: results may have been stored and shown since.
TEST_F(JobReadTest, oldAnswerOfTheStoreDoesNotDenyResults)
{
    this->writeJobOfOtherHost();
    this->store.setReplies(InMemoryObjectStore::Replies::Held);
    const LoopTimer released = this->loop.after(absl::Milliseconds(1100), [this] { this->store.releaseReplies(); });
    EXPECT_EQ(this->readResults().lookup, JobLookup::Unknown);
}

// Guards against a caller that gets no answer because the job is removed from the store, by an operator or as malformed, while its read
// waits for results.
TEST_F(JobReadTest, waitingReadIsAnsweredWhenTheJobIsRemoved)
{
    this->submitJob();
    const LoopTimer removal = this->loop.after(
        absl::Milliseconds(100), [this] { this->jobs.changeHeader({.removed = true, .object = this->store.object(JobArchive::headerKind, jobId)}); });
    EXPECT_EQ(this->readResults(absl::Seconds(5)).lookup, JobLookup::Unknown);
}

// Guards against a process that ends, and a read without an answer, when a job is removed and comes back while its results are loaded.
TEST_F(JobReadTest, jobMayBeRemovedAndReturnWhileItsResultsAreLoaded)
{
    this->writeJobOfOtherHost();
    this->writeResultsOfOtherHost();
    this->store.setReplies(InMemoryObjectStore::Replies::Held);
    std::optional<JobLookup> lookup;
    this->jobs.read(jobId, 0, absl::ZeroDuration(), [&lookup](JobLookup result, const JobPage &) { lookup = result; });
    ASSERT_EQ(this->store.heldReplies(), 1U);
    const ObjectRecord header = this->store.object(JobArchive::headerKind, jobId);
    this->jobs.changeHeader({.removed = true, .object = header});
    this->jobs.changeHeader({.removed = false, .object = header});
    EXPECT_EQ(lookup, JobLookup::Unknown);
    this->store.setReplies(InMemoryObjectStore::Replies::Delivered);
    this->store.releaseReplies();
    runFor(this->loop, tickPeriod);
    EXPECT_EQ(this->readResults().lookup, JobLookup::Found);
}

// Guards against an answer without results while the store can not tell whether there are some.
TEST_F(JobReadTest, hostThatCanNotAskTheStoreDoesNotDenyResults)
{
    this->submitJob();
    runFor(this->loop, successorDelay);
    this->store.setReplies(InMemoryObjectStore::Replies::Lost);
    EXPECT_EQ(this->readResults().lookup, JobLookup::Unknown);
}

} // namespace

} // namespace Bergamotramp
