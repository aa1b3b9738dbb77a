#include "FaultProxy.h"
#include "JobTypes.h"
#include "SiteFleet.h"

#include <algorithm>
#include <map>

namespace Bergamotramp {

namespace {

constexpr int eventCount = 5;

class JobServiceTest : public SiteFleet
{
protected:
    void start(int hostCount, absl::Duration eventInterval = absl::Milliseconds(5))
    {
        this->writeConfig(1);
        this->addUpstream("model", eventCount, eventInterval);
        this->addUpstream("model", eventCount, eventInterval);
        this->startHosts(hostCount);
    }

    [[nodiscard]] static std::string output()
    {
        std::string text;
        for (int number = 1; number <= eventCount; ++number) {
            text += (number > 1 ? "\n" : "") + StandinUpstream::eventData(number);
        }
        return text;
    }

    static void expectAllCompleted(const nlohmann::json &results, std::size_t items)
    {
        ASSERT_EQ(results.size(), items);
        std::set<std::string> ids;
        for (const nlohmann::json &result : results) {
            EXPECT_EQ(result["state"], "completed");
            EXPECT_EQ(result["output"], output());
            EXPECT_TRUE(ids.insert(result["id"]).second);
        }
    }
};

// Guards against hosts that return different results for the same job.
TEST_F(JobServiceTest, everyHostShowsTheSameResults)
{
    this->start(2);
    EXPECT_EQ(this->submit(*this->hosts[0], "job-1", 7), 202);
    const nlohmann::json first = this->readWholeJob(*this->hosts[0], "job-1", 7);
    expectAllCompleted(first, 7);
    EXPECT_EQ(this->readWholeJob(*this->hosts[1], "job-1", 7), first);
}

// Guards against a job that is stored twice, or lost, when its caller submits it again to another host.
TEST_F(JobServiceTest, resubmittedJobIsStoredOnce)
{
    this->start(2);
    EXPECT_EQ(this->submit(*this->hosts[0], "job-1", 4), 202);
    EXPECT_EQ(this->submit(*this->hosts[1], "job-1", 4), 202);
    expectAllCompleted(this->readWholeJob(*this->hosts[1], "job-1", 4), 4);
    EXPECT_EQ(this->store.names("jobs").size(), 1U);
}

// Guards against a job that is reported as refused and still runs, or is reported as accepted and lost. This happens if a host
// takes a lost answer of the store for a failure or a success instead of repeating the call.
TEST_F(JobServiceTest, jobIsAcceptedAfterLostStoreAnswers)
{
    this->start(1);
    this->store.setMode(ObjectApiMode::AnswersLost);
    const LoopTimer restored = this->loop.after(absl::Milliseconds(300), [this] { this->store.setMode(ObjectApiMode::Serving); });
    EXPECT_EQ(this->submit(*this->hosts[0], "job-1", 3), 202);
    expectAllCompleted(this->readWholeJob(*this->hosts[0], "job-1", 3), 3);
}

// Guards against a job that is accepted while the store refuses all calls, so that it can't be stored.
TEST_F(JobServiceTest, jobIsRefusedWhileTheStoreIsUnavailable)
{
    this->start(1);
    this->store.setMode(ObjectApiMode::Busy);
    EXPECT_EQ(this->submit(*this->hosts[0], "job-1", 3), 503);
    EXPECT_EQ(this->readJob(*this->hosts[0], "job-1", 0)["status"], 503);
    this->store.setMode(ObjectApiMode::Serving);
    EXPECT_EQ(this->readJob(*this->hosts[0], "job-1", 0)["status"], 404);
}

// Guards against a job that makes no progress after the host that runs it has crashed, and against results that change their
// position when another host takes the job over.
TEST_F(JobServiceTest, jobOfACrashedHostIsTakenOver)
{
    this->start(3, absl::Milliseconds(40));
    EXPECT_EQ(this->submit(*this->hosts[0], "job-1", 30), 202);
    ASSERT_TRUE(runUntil(this->loop, [this] { return !this->store.names("job-results").empty(); }));
    const nlohmann::json before = this->readJob(*this->hosts[1], "job-1", 0)["results"];
    this->crashHost(*this->hosts[0]);
    const nlohmann::json after = this->readWholeJob(*this->hosts[2], "job-1", 30);
    expectAllCompleted(after, 30);
    for (std::size_t position = 0; position < before.size(); ++position) {
        EXPECT_EQ(after[position], before[position]);
    }
    EXPECT_EQ(this->readWholeJob(*this->hosts[1], "job-1", 30), after);
}

// Guards against a host that restarts under its old name and returns fewer results of its former job than the host that has
// taken the job over.
TEST_F(JobServiceTest, restartedHostReturnsResultsOfTheNewRunner)
{
    this->start(2, absl::Milliseconds(40));
    EXPECT_EQ(this->submit(*this->hosts[0], "job-1", 30), 202);
    ASSERT_TRUE(runUntil(this->loop, [this] { return !this->store.names("job-results").empty(); }));
    this->crashHost(*this->hosts[0]);
    ASSERT_TRUE(runUntil(this->loop, [this] {
        return this->store.read("jobs", "job-1")["status"].is_object() && this->store.read("jobs", "job-1")["status"]["runner"] == "host-1";
    }));
    RunningHost &restarted = this->startHost("host-0");
    ASSERT_TRUE(runUntil(this->loop, [&restarted] { return restarted.host->ready(); }));
    for (std::size_t seen = 0; seen < 30;) {
        const nlohmann::json newRunnerPage = this->readJob(*this->hosts[1], "job-1", seen);
        if (!newRunnerPage.contains("results") || newRunnerPage["results"].empty()) {
            continue;
        }
        runFor(this->loop, absl::Seconds(1));
        const nlohmann::json restartedPage = this->readJob(restarted, "job-1", seen);
        ASSERT_TRUE(restartedPage.contains("results") && restartedPage["results"].size() >= newRunnerPage["results"].size());
        seen += newRunnerPage["results"].size();
    }
}

// Guards against results that disappear again: if the former runner could still store results after another host has taken
// the job over, that host would answer reads from memory without them.
TEST_F(JobServiceTest, formerRunnerCanNotAddResultsAfterATakeover)
{
    this->start(2, absl::Milliseconds(100));
    EXPECT_EQ(this->submit(*this->hosts[0], "job-1", 30), 202);
    ASSERT_TRUE(runUntil(this->loop, [this] { return !this->store.names("job-results").empty(); }));
    this->crashHost(*this->hosts[0]);
    const std::size_t before = this->store.names("job-results").size();
    ASSERT_TRUE(runUntil(this->loop, [this, before] { return this->store.names("job-results").size() > before; }));
    const nlohmann::json fenceObject = this->store.read("job-results", this->store.names("job-results")[before])["spec"];
    EXPECT_TRUE(fenceObject["writer"].get<std::string>().starts_with("host-1"));
    EXPECT_TRUE(fenceObject["results"].empty()) << "the new runner must first create an empty object under the former runner's next number";
    expectAllCompleted(this->readWholeJob(*this->hosts[1], "job-1", 30), 30);
}

// Guards against items that keep running after their job has been cancelled at another host. This happens if the store was
// silent for a while and has dropped the pending watches that would report the cancellation.
TEST_F(JobServiceTest, cancelledJobStopsOnAllHostsAfterASilentStore)
{
    this->start(2, absl::Milliseconds(300));
    EXPECT_EQ(this->submit(*this->hosts[0], "job-1", 8), 202);
    ASSERT_TRUE(runUntil(this->loop, [this] { return this->upstreams[0]->running() > 0; }));
    this->store.setMode(ObjectApiMode::Silent);
    runFor(this->loop, absl::Milliseconds(200));
    this->store.setMode(ObjectApiMode::Serving);
    EXPECT_EQ(this->wait(this->send(*this->hosts[1], "DELETE", "/bergamotramp/lots/job-1", {})).head.status, 200);
    EXPECT_EQ(this->wait(this->send(*this->hosts[1], "DELETE", "/bergamotramp/lots/job-1", {})).head.status, 200);
    EXPECT_TRUE(runUntil(this->loop, [this] { return this->upstreams[0]->running() + this->upstreams[1]->running() == 0; }));
    runFor(this->loop, absl::Seconds(1));
    EXPECT_EQ(this->upstreams[0]->running() + this->upstreams[1]->running(), 0U);
}

// Guards against items that run for seconds after the cancellation of their job has been acknowledged. This happens if the
// store has dropped the watch of the host that runs them and no other host notifies it.
TEST_F(JobServiceTest, runnerIsNotifiedOfACancelledJob)
{
    this->start(2, absl::Milliseconds(900));
    EXPECT_EQ(this->submit(*this->hosts[0], "job-1", 8), 202);
    ASSERT_TRUE(runUntil(this->loop, [this] { return this->upstreams[0]->running() > 0; }));
    // By now all hosts have a pending watch at the store.
    runFor(this->loop, absl::Seconds(1));
    this->store.setMode(ObjectApiMode::Silent);
    this->store.setMode(ObjectApiMode::Serving);
    EXPECT_EQ(this->wait(this->send(*this->hosts[1], "DELETE", "/bergamotramp/lots/job-1", {})).head.status, 200);
    // The users' requirements allow three seconds. Without the notification, the watch would end only after five.
    runFor(this->loop, absl::Seconds(2));
    EXPECT_EQ(this->upstreams[0]->running() + this->upstreams[1]->running(), 0U);
}

// Guards against an ended job that runs on for as long as its runner gets no answer from the store: the notice of the end then led to a
// read that was not repeated.
TEST_F(JobServiceTest, cancelledJobStopsAtARunnerThatTheStoreDoesNotAnswer)
{
    this->start(1, absl::Milliseconds(900));
    FaultProxy link;
    const std::string route = link.addRoute("store", this->store.address());
    RunningHost &runner = this->startHost("runner", route);
    this->waitUntilHostsKnowEachOther();
    EXPECT_EQ(this->submit(runner, "job-1", 8), 202);
    ASSERT_TRUE(runUntil(this->loop, [this] { return this->upstreams[0]->running() > 0; }));
    link.freeze("store", RouteFreeze::All);
    EXPECT_EQ(this->wait(this->send(*this->hosts[0], "DELETE", "/bergamotramp/lots/job-1", {})).head.status, 200);
    runFor(this->loop, absl::Seconds(2));
    EXPECT_EQ(this->upstreams[0]->running() + this->upstreams[1]->running(), 0U);
}

// Guards against an ended job that runs on until the watch of its runner is over, if the store's answer to that watch was lost and the
// host that took the end has crashed before it notified the runner.
TEST_F(JobServiceTest, cancelledJobStopsAfterALostWatchWithoutANotice)
{
    this->start(1, absl::Milliseconds(900));
    EXPECT_EQ(this->submit(*this->hosts[0], "job-1", 36), 202);
    ASSERT_TRUE(runUntil(this->loop, [this] { return this->upstreams[0]->running() > 0; }));
    runFor(this->loop, absl::Seconds(1));
    this->startHost("witness");
    this->store.loseWatches("jobs");
    this->waitUntilHostsKnowEachOther();
    ASSERT_GT(this->upstreams[0]->running() + this->upstreams[1]->running(), 0U);
    const HttpRequest end{.method = "PUT",
                          .target = "/bergamotramp/objects/jobs/job-1/status",
                          .fields = {},
                          .body = nlohmann::json{{"status", JobProgress{.cancelled = true}.toJson()}}.dump()};
    const HttpCall call =
        this->client.send(this->store.address(), end, {.matchesRequest = {}, .head = [](const HttpHead &) {}, .body = {}, .completed = [] {}, .failed = {}});
    // The users' requirements count an item as late from four seconds after the lost answer on.
    runFor(this->loop, absl::Seconds(4));
    EXPECT_EQ(this->upstreams[0]->running() + this->upstreams[1]->running(), 0U);
}

// Guards against an item that is retried without end although the upstreams report it as impossible or fail each time.
TEST_F(JobServiceTest, itemsThatAlwaysFailBecomeDeadLetters)
{
    this->start(1);
    this->upstreams[0]->setMode(UpstreamMode::FailingPermanently);
    this->upstreams[1]->setMode(UpstreamMode::Failing);
    EXPECT_EQ(this->submit(*this->hosts[0], "job-1", 4), 202);
    const nlohmann::json results = this->readWholeJob(*this->hosts[0], "job-1", 4);
    ASSERT_EQ(results.size(), 4U);
    for (const nlohmann::json &result : results) {
        EXPECT_EQ(result["state"], "dead_letter");
    }
}

// Guards against a job that is neither run nor given up after its route is gone, because its host starts no other items.
TEST_F(JobServiceTest, jobWithoutARouteIsGivenUp)
{
    constexpr int items = 3;
    this->start(1);
    for (const auto &upstream : this->upstreams) {
        upstream->setMode(UpstreamMode::Full);
    }
    EXPECT_EQ(this->submit(*this->hosts[0], "job-1", items), 202);
    this->writeConfigWithout("batch", 2);
    const nlohmann::json results = this->readWholeJob(*this->hosts[0], "job-1", items);
    ASSERT_EQ(results.size(), static_cast<std::size_t>(items));
    for (const nlohmann::json &result : results) {
        EXPECT_EQ(result["state"], "dead_letter");
    }
}

// Guards against an item that is never run again, or becomes a dead letter, because all upstreams lost the connections of its runs many
// times, although they serve again. The job changes hands in between.
TEST_F(JobServiceTest, itemsCompleteAfterABurstOfCrashes)
{
    constexpr int crashesBeforeTakeover = 12;
    this->start(3);
    this->upstreams[0]->setMode(UpstreamMode::AnswersLost);
    this->upstreams[1]->setMode(UpstreamMode::AnswersLost);
    const auto crashes = [this] {
        int count = 0;
        for (const auto &upstream : this->upstreams) {
            for (const auto &[id, runs] : upstream->runs()) {
                count += runs;
            }
        }
        return count;
    };
    EXPECT_EQ(this->submit(*this->hosts[0], "job-1", 2), 202);
    ASSERT_TRUE(runUntil(this->loop, [&crashes] { return crashes() >= crashesBeforeTakeover; }));
    this->crashHost(*this->hosts[0]);
    ASSERT_TRUE(runUntil(this->loop, [&crashes, before = crashes()] { return crashes() >= before + crashesBeforeTakeover; }));
    this->upstreams[0]->setMode(UpstreamMode::Serving);
    this->upstreams[1]->setMode(UpstreamMode::Serving);
    expectAllCompleted(this->readWholeJob(*this->hosts[1], "job-1", 2), 2);
}

// Guards against an item that loses or repeats events when its stream is cut off and resumed at another upstream.
TEST_F(JobServiceTest, interruptedItemsResumeAfterTheLastEvent)
{
    this->start(1);
    this->upstreams[0]->setMode(UpstreamMode::CutsStreams);
    EXPECT_EQ(this->submit(*this->hosts[0], "job-1", 12), 202);
    expectAllCompleted(this->readWholeJob(*this->hosts[0], "job-1", 12), 12);
}

// Guards against an item that never ends because its upstream sends a byte now and then but no event: items have no deadline.
TEST_F(JobServiceTest, itemsLeaveAnUpstreamThatTricklesBytes)
{
    this->start(1, absl::Milliseconds(50));
    this->upstreams[0]->setMode(UpstreamMode::TrickledEvent);
    EXPECT_EQ(this->submit(*this->hosts[0], "job-1", 6), 202);
    expectAllCompleted(this->readWholeJob(*this->hosts[0], "job-1", 6), 6);
}

// Guards against exceeding the limit on waiting tokens by jobs that one host accepts at the same time, and against refusing a job as
// not run that the host is accepting.
TEST_F(JobServiceTest, limitOnWaitingTokensCountsJobsThatAreBeingAccepted)
{
    this->start(1, absl::Milliseconds(20));
    const auto first = this->sendSubmission(*this->hosts[0], "job-1", 60);
    const auto second = this->sendSubmission(*this->hosts[0], "job-2", 60);
    const auto repeated = this->sendSubmission(*this->hosts[0], "job-1", 60);
    std::map<int, int> statuses;
    ++statuses[this->wait(first).head.status];
    ++statuses[this->wait(second).head.status];
    EXPECT_EQ(statuses, (std::map<int, int>{{202, 1}, {429, 1}}));
    EXPECT_EQ(this->wait(repeated).head.status, first->head.status);
}

// Guards against exceeding the limit on waiting tokens by submitting to several hosts, and against refusing jobs after the
// waiting ones have finished.
TEST_F(JobServiceTest, limitOnWaitingTokensCountsJobsOfAllHosts)
{
    this->start(2, absl::Milliseconds(20));
    EXPECT_EQ(this->submit(*this->hosts[0], "job-1", 90), 202);
    runFor(this->loop, absl::Milliseconds(700));
    EXPECT_EQ(this->submit(*this->hosts[1], "job-2", 90), 429);
    EXPECT_EQ(this->submit(*this->hosts[1], "job-1", 90), 202);
    expectAllCompleted(this->readWholeJob(*this->hosts[0], "job-1", 90), 90);
    int status = 0;
    for (int attempt = 0; attempt < 40 && status != 202; ++attempt) {
        runFor(this->loop, absl::Milliseconds(500));
        status = this->submit(*this->hosts[1], "job-2", 90);
    }
    EXPECT_EQ(status, 202);
}

// Guards against a host that exits, or stops its other jobs, because a stored object of one job is malformed.
TEST_F(JobServiceTest, malformedObjectsStopOnlyTheirJob)
{
    this->start(2, absl::Milliseconds(100));
    EXPECT_EQ(this->submit(*this->hosts[0], "job-1", 30), 202);
    this->store.write("job-items", "job-1.00000", "spoilt");
    this->store.write("job-results", "job-1.00000", {{"results", 7}});
    this->store.write("jobs", "job-odd", "spoilt");
    this->crashHost(*this->hosts[0]);
    EXPECT_EQ(this->readJob(*this->hosts[1], "job-1", 0)["status"], 503);
    EXPECT_EQ(this->submit(*this->hosts[1], "job-2", 3), 202);
    expectAllCompleted(this->readWholeJob(*this->hosts[1], "job-2", 3), 3);
}

// Guards against a host that can't return the body of an item although the job is stored.
TEST_F(JobServiceTest, itemBodiesAreReadableAtEveryHost)
{
    this->start(2, absl::Milliseconds(300));
    EXPECT_EQ(this->submit(*this->hosts[0], "job-1", 3), 202);
    for (const auto &host : this->hosts) {
        const Answer &answer = this->wait(this->send(*host, "GET", "/bergamotramp/items/job-1?id=job-1-item-2", {}));
        EXPECT_EQ(answer.head.status, 200);
        EXPECT_EQ(answer.body, "body-2");
    }
    EXPECT_EQ(this->wait(this->send(*this->hosts[1], "GET", "/bergamotramp/items/job-2?id=x", {})).head.status, 404);
}

// Guards against a planned stop that cuts off a running request or leaves jobs assigned to the stopping host.
TEST_F(JobServiceTest, plannedStopHandsOverJobs)
{
    this->start(2, absl::Milliseconds(60));
    EXPECT_EQ(this->submit(*this->hosts[0], "job-1", 10), 202);
    const auto stream = this->send(*this->hosts[0], "POST", "/stream/x", {{"X-Request-Id", "id-1"}}, "prompt");
    ASSERT_TRUE(runUntil(this->loop, [&stream] { return !stream->body.empty(); }));
    this->hosts[0]->host->stop();
    EXPECT_FALSE(this->hosts[0]->host->ready());
    EXPECT_EQ(this->wait(stream).body, wholeStream(eventCount));
    expectAllCompleted(this->readWholeJob(*this->hosts[1], "job-1", 10), 10);
    EXPECT_TRUE(runUntil(this->loop, [this] { return this->hosts[0]->stopped; }));
}

} // namespace

} // namespace Bergamotramp
