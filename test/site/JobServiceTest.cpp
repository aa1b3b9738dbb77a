#include "SiteFleet.h"

#include <algorithm>

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
            text += (number > 1 ? "\n" : "") + StreamUpstream::eventData(number);
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

// Guards against a job whose results differ between hosts.
TEST_F(JobServiceTest, everyHostShowsTheSameResults)
{
    this->start(2);
    EXPECT_EQ(this->submit(*this->hosts[0], "job-1", 7), 202);
    const nlohmann::json first = this->readWholeJob(*this->hosts[0], "job-1", 7);
    expectAllCompleted(first, 7);
    EXPECT_EQ(this->readWholeJob(*this->hosts[1], "job-1", 7), first);
}

// Guards against a job that is accepted twice, or lost, when its caller sends it again to another host.
TEST_F(JobServiceTest, resentJobIsTheSameJob)
{
    this->start(2);
    EXPECT_EQ(this->submit(*this->hosts[0], "job-1", 4), 202);
    EXPECT_EQ(this->submit(*this->hosts[1], "job-1", 4), 202);
    expectAllCompleted(this->readWholeJob(*this->hosts[1], "job-1", 4), 4);
    EXPECT_EQ(this->store.names("jobs").size(), 1U);
}

// Guards against a job that is answered as not accepted and runs, or is accepted and lost, when the store's answer is lost.
TEST_F(JobServiceTest, lostAnswersOfTheStoreDoNotDecide)
{
    this->start(1);
    this->store.setMode(ObjectApiMode::AnswersLost);
    const LoopTimer restored = this->loop.after(absl::Milliseconds(300), [this] { this->store.setMode(ObjectApiMode::Serving); });
    EXPECT_EQ(this->submit(*this->hosts[0], "job-1", 3), 202);
    expectAllCompleted(this->readWholeJob(*this->hosts[0], "job-1", 3), 3);
}

// Guards against a job that is accepted while nothing can be kept.
TEST_F(JobServiceTest, jobIsRefusedWhileTheStoreIsAway)
{
    this->start(1);
    this->store.setMode(ObjectApiMode::Busy);
    EXPECT_EQ(this->submit(*this->hosts[0], "job-1", 3), 503);
    EXPECT_EQ(this->readJob(*this->hosts[0], "job-1", 0)["status"], 503);
    this->store.setMode(ObjectApiMode::Serving);
    EXPECT_EQ(this->readJob(*this->hosts[0], "job-1", 0)["status"], 404);
}

// Guards against a job that stands still when the host that runs it is lost, and against positions that change.
TEST_F(JobServiceTest, lostHostsJobIsTakenOver)
{
    this->start(3, absl::Milliseconds(40));
    EXPECT_EQ(this->submit(*this->hosts[0], "job-1", 30), 202);
    ASSERT_TRUE(runUntil(this->loop, [this] { return !this->store.names("job-results").empty(); }));
    const nlohmann::json before = this->readJob(*this->hosts[1], "job-1", 0)["results"];
    this->kill(*this->hosts[0]);
    const nlohmann::json after = this->readWholeJob(*this->hosts[2], "job-1", 30);
    expectAllCompleted(after, 30);
    for (std::size_t position = 0; position < before.size(); ++position) {
        EXPECT_EQ(after[position], before[position]);
    }
    EXPECT_EQ(this->readWholeJob(*this->hosts[1], "job-1", 30), after);
}

// Guards against a host that comes back under its name and answers from an older list than the one that took its job over.
TEST_F(JobServiceTest, returningHostShowsTheResultsOfTheOneThatTookOver)
{
    this->start(2, absl::Milliseconds(40));
    EXPECT_EQ(this->submit(*this->hosts[0], "job-1", 30), 202);
    ASSERT_TRUE(runUntil(this->loop, [this] { return !this->store.names("job-results").empty(); }));
    this->kill(*this->hosts[0]);
    ASSERT_TRUE(runUntil(this->loop, [this] {
        return this->store.read("jobs", "job-1")["status"].is_object() && this->store.read("jobs", "job-1")["status"]["runner"] == "host-1";
    }));
    RunningHost &returned = this->startHost("host-0");
    ASSERT_TRUE(runUntil(this->loop, [&returned] { return returned.host->ready(); }));
    for (std::size_t seen = 0; seen < 30;) {
        const nlohmann::json there = this->readJob(*this->hosts[1], "job-1", seen);
        if (!there.contains("results") || there["results"].empty()) {
            continue;
        }
        runFor(this->loop, absl::Seconds(1));
        const nlohmann::json here = this->readJob(returned, "job-1", seen);
        ASSERT_TRUE(here.contains("results") && here["results"].size() >= there["results"].size());
        seen += there["results"].size();
    }
}

// Guards against results that vanish again: the former runner stores some late, after another host has taken the job over,
// and that host answers from a list without them.
TEST_F(JobServiceTest, formerRunnerCanNotAddResultsAfterATakeover)
{
    this->start(2, absl::Milliseconds(100));
    EXPECT_EQ(this->submit(*this->hosts[0], "job-1", 30), 202);
    ASSERT_TRUE(runUntil(this->loop, [this] { return !this->store.names("job-results").empty(); }));
    this->kill(*this->hosts[0]);
    const std::size_t before = this->store.names("job-results").size();
    ASSERT_TRUE(runUntil(this->loop, [this, before] { return this->store.names("job-results").size() > before; }));
    const nlohmann::json first = this->store.read("job-results", this->store.names("job-results")[before])["spec"];
    EXPECT_TRUE(first["writer"].get<std::string>().starts_with("host-1"));
    EXPECT_TRUE(first["results"].empty()) << "the place of the former runner's next results is taken at once";
    expectAllCompleted(this->readWholeJob(*this->hosts[1], "job-1", 30), 30);
}

// Guards against items that go on running after their job has ended, at whichever host it was ended, also when the store
// was silent and has forgotten the watches that waited.
TEST_F(JobServiceTest, endedJobStopsEverywhereAfterASilentStore)
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

// Guards against items that run on for seconds after the acknowledged end of their job, because the store has forgotten the
// watch of the host that runs them and that host has not noticed yet.
TEST_F(JobServiceTest, runnerIsToldThatItsJobHasEnded)
{
    this->start(2, absl::Milliseconds(900));
    EXPECT_EQ(this->submit(*this->hosts[0], "job-1", 8), 202);
    ASSERT_TRUE(runUntil(this->loop, [this] { return this->upstreams[0]->running() > 0; }));
    // All watches wait by now.
    runFor(this->loop, absl::Seconds(1));
    this->store.setMode(ObjectApiMode::Silent);
    this->store.setMode(ObjectApiMode::Serving);
    EXPECT_EQ(this->wait(this->send(*this->hosts[1], "DELETE", "/bergamotramp/lots/job-1", {})).head.status, 200);
    // The bound of the users' pages is three seconds; without the notice the watch ends after five.
    runFor(this->loop, absl::Seconds(2));
    EXPECT_EQ(this->upstreams[0]->running() + this->upstreams[1]->running(), 0U);
}

// Guards against an item that is never given up, or given up before its failures allow it.
TEST_F(JobServiceTest, itemsThatCanNotBeDoneAreGivenUp)
{
    this->start(1);
    this->upstreams[0]->setMode(UpstreamMode::Impossible);
    this->upstreams[1]->setMode(UpstreamMode::Failing);
    EXPECT_EQ(this->submit(*this->hosts[0], "job-1", 4), 202);
    const nlohmann::json results = this->readWholeJob(*this->hosts[0], "job-1", 4);
    ASSERT_EQ(results.size(), 4U);
    for (const nlohmann::json &result : results) {
        EXPECT_EQ(result["state"], "dead_letter");
    }
}

// Guards against an item whose run was cut and that loses or repeats events.
TEST_F(JobServiceTest, cutRunsGoOnWhereTheyWere)
{
    this->start(1);
    this->upstreams[0]->setMode(UpstreamMode::CutsStreams);
    EXPECT_EQ(this->submit(*this->hosts[0], "job-1", 12), 202);
    expectAllCompleted(this->readWholeJob(*this->hosts[0], "job-1", 12), 12);
}

// Guards against the limit on waiting tokens being exceeded, and against one that stays full when the work is done.
TEST_F(JobServiceTest, limitOnWaitingTokensHoldsOverAllHosts)
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

// Guards against a host that ends, or stops its other work, because an object of a job was spoiled.
TEST_F(JobServiceTest, spoiltObjectsStopOnlyTheirJob)
{
    this->start(2, absl::Milliseconds(100));
    EXPECT_EQ(this->submit(*this->hosts[0], "job-1", 30), 202);
    this->store.write("job-items", "job-1.00000", "spoilt");
    this->store.write("job-results", "job-1.00000", {{"results", 7}});
    this->store.write("jobs", "job-odd", "spoilt");
    this->kill(*this->hosts[0]);
    EXPECT_EQ(this->readJob(*this->hosts[1], "job-1", 0)["status"], 503);
    EXPECT_EQ(this->submit(*this->hosts[1], "job-2", 3), 202);
    expectAllCompleted(this->readWholeJob(*this->hosts[1], "job-2", 3), 3);
}

// Guards against the body of an item that a host can't give although the job is kept.
TEST_F(JobServiceTest, bodiesAreReadableAtEveryHost)
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

// Guards against a planned stop that leaves items to a host that is about to end, or cuts a request.
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
