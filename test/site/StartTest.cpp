#include <algorithm>

#include "SiteFleet.h"

namespace Bergamotramp {

namespace {

class StartTest : public SiteFleet
{
protected:
    [[nodiscard]] std::ptrdiff_t firstCall(const std::string &call) const
    {
        return std::ranges::find(this->store.readCalls(), call) - this->store.readCalls().begin();
    }
};

// Guards against the list of all jobs on the link, and in the processor, before the data that callers wait for.
TEST_F(StartTest, jobsAreListedOnceTheRoutingDataAreKnown)
{
    this->writeConfig(1);
    this->addUpstream("plain", 0);
    this->startHost("host-0");
    const auto jobsListed = [this] { return std::ranges::count(this->store.readCalls(), "list jobs") > 0; };
    ASSERT_TRUE(runUntil(this->loop, jobsListed));
    EXPECT_LT(this->firstCall("watch config"), this->firstCall("list jobs"));
    EXPECT_LT(this->firstCall("watch servers"), this->firstCall("list jobs"));
}

// Guards against the refusal of callers that come back to a host which is ready a moment later.
TEST_F(StartTest, requestsOfTheFirstMomentWaitForTheRoutingData)
{
    this->writeConfig(1);
    this->addUpstream("plain", 0);
    const RunningHost &host = this->startHost("host-0");
    const Answer &answer = this->request(host, "/plain/x", "early");
    EXPECT_EQ(answer.head.status, 200);
}

// Guards against calls about jobs that wait for the upstreams, which they don't need, and are refused.
TEST_F(StartTest, callsAboutJobsWaitForTheConfigurationOnly)
{
    this->writeConfig(1);
    this->store.holdLists("servers");
    const RunningHost &host = this->startHost("host-0");
    const Answer &answer = this->wait(this->send(host, "GET", "/bergamotramp/lots/none?after=0", {}));
    EXPECT_EQ(answer.head.status, 404);
}

// Guards against callers without any address while all hosts start.
TEST_F(StartTest, startingHostNamesItselfToCallers)
{
    this->writeConfig(1);
    const RunningHost &host = this->startHost("host-0");
    const Answer &answer = this->wait(this->send(host, "GET", "/bergamotramp/resolve?name=x&region=north&zone=a", {}));
    EXPECT_EQ(answer.head.status, 200);
}

// Guards against requests that a host whose store fails leaves without an answer, or answers as if they might have run.
TEST_F(StartTest, requestsAreRefusedWhileTheStoreFails)
{
    this->store.setMode(ObjectApiMode::Busy);
    const RunningHost &host = this->startHost("host-0");
    ASSERT_TRUE(runUntil(this->loop, [this] { return this->store.calls() >= 3; }));
    runFor(this->loop, absl::Milliseconds(20));
    const Answer &answer = this->request(host, "/plain/x", "refused");
    EXPECT_EQ(answer.head.status, 503);
    EXPECT_EQ(nlohmann::json::parse(answer.body).at("error").at("state"), "not_run");
}

} // namespace

} // namespace Bergamotramp
