#include "SiteFleet.h"

#include <absl/strings/str_cat.h>

namespace Bergamotramp {

namespace {

constexpr int eventCount = 6;
constexpr int manyRequests = 12;

class LeavingUpstreamTest : public SiteFleet
{
protected:
    /** Starts hosts with @p count upstreams of the service "model", or of "plain" when @p plain is set. */
    void start(int count, bool plain = false, int hostCount = 1, absl::Duration eventInterval = absl::Milliseconds(5))
    {
        this->writeConfig(1);
        this->service = plain ? "plain" : "model";
        this->path = plain ? "/plain/x" : "/resumable/x";
        for (int number = 0; number < count; ++number) {
            this->addUpstream(this->service, plain ? 0 : eventCount, eventInterval);
        }
        this->startHosts(hostCount);
    }

    Answer &requestOnce(std::size_t host = 0)
    {
        return this->request(*this->hosts[host], this->path, absl::StrCat("id-", ++this->requestCount));
    }

    /** Sends requests until @p upstream has answered one and has thereby stated that it leaves. */
    void learnThatItLeaves(StandinUpstream &upstream)
    {
        upstream.setLeaving(true);
        const std::size_t before = upstream.received();
        for (int number = 0; number < 200 && upstream.received() == before; ++number) {
            this->requestOnce();
        }
        ASSERT_GT(upstream.received(), before);
    }

    /** Sends requests to a host and returns how many of them reached @p upstream; refused ones count too. */
    std::size_t requestsThatReach(const StandinUpstream &upstream, std::size_t host = 0)
    {
        const std::size_t before = upstream.received();
        for (int number = 0; number < manyRequests; ++number) {
            EXPECT_EQ(this->requestOnce(host).head.status, 200);
        }
        return upstream.received() - before;
    }

    std::string service;
    std::string path;
    int requestCount = 0;
};

// Guards against requests for an upstream that has stated that it leaves while the store says nothing about it, and against a
// statement that is not passed on to the caller.
TEST_F(LeavingUpstreamTest, statementAloneSufficesWhileTheStoreIsSilent)
{
    this->start(2);
    this->store.setMode(ObjectApiMode::Silent);
    this->upstreams[1]->setMode(UpstreamMode::Full);
    this->upstreams[0]->setLeaving(true);
    EXPECT_EQ(this->requestOnce().head.fields.find("server-leaving"), "1");
    this->upstreams[1]->setMode(UpstreamMode::Serving);
    EXPECT_EQ(this->requestsThatReach(*this->upstreams[0]), 0U);
}

// Guards against a registration with "ready" that is written, listed again or handed on after the statement and undoes it.
TEST_F(LeavingUpstreamTest, laterReadyRegistrationDoesNotUndoTheStatement)
{
    this->start(2);
    this->learnThatItLeaves(*this->upstreams[0]);
    this->registerUpstream(*this->upstreams[0], "model", "ready");
    runFor(this->loop, absl::Seconds(1));
    EXPECT_EQ(this->requestsThatReach(*this->upstreams[0]), 0U);
    this->store.setMode(ObjectApiMode::Busy);
    runFor(this->loop, absl::Seconds(1));
    this->store.setMode(ObjectApiMode::Serving);
    runFor(this->loop, absl::Seconds(4));
    EXPECT_EQ(this->requestsThatReach(*this->upstreams[0]), 0U);
}

// Guards against a restarted upstream that gets no requests, because its former run under the same id has left.
TEST_F(LeavingUpstreamTest, anotherStartUnderTheSameIdGetsRequests)
{
    this->start(2);
    this->learnThatItLeaves(*this->upstreams[0]);
    EXPECT_EQ(this->requestsThatReach(*this->upstreams[0]), 0U);
    this->upstreams[0]->setLeaving(false);
    this->registerUpstream(*this->upstreams[0], "model", "ready", 2);
    runFor(this->loop, absl::Seconds(1));
    EXPECT_GT(this->requestsThatReach(*this->upstreams[0]), 0U);
}

// Guards against an upstream that gets no requests, because a former one at its address has left.
TEST_F(LeavingUpstreamTest, anotherIdAtTheAddressGetsRequests)
{
    this->start(2);
    this->learnThatItLeaves(*this->upstreams[0]);
    EXPECT_EQ(this->requestsThatReach(*this->upstreams[0]), 0U);
    const std::string address = this->upstreams[0]->address();
    this->upstreams[0].reset();
    this->upstreams[0] = std::make_unique<StandinUpstream>(
        this->loop, "up-successor", eventCount, absl::Milliseconds(5), UpstreamOptions{.address = address, .slots = 0, .tagsResponses = false, .onRun = {}});
    this->registerUpstream(*this->upstreams[0], "model", "ready");
    runFor(this->loop, absl::Seconds(1));
    EXPECT_GT(this->requestsThatReach(*this->upstreams[0]), 0U);
}

// Guards against a statement in the head of a stream that takes effect only when the stream ends, and against a running stream that
// is ended by it.
TEST_F(LeavingUpstreamTest, headOfARunningStreamSuffices)
{
    this->start(2, false, 1, absl::Milliseconds(150));
    this->upstreams[0]->setLeaving(true);
    this->upstreams[1]->setMode(UpstreamMode::Full);
    const auto running = this->send(*this->hosts[0], "POST", "/stream/x", {{"X-Request-Id", "long"}}, "prompt");
    ASSERT_TRUE(runUntil(this->loop, [&running] { return !running->body.empty(); }));
    this->upstreams[1]->setMode(UpstreamMode::Serving);
    std::vector<std::shared_ptr<Answer>> others;
    for (int number = 0; number < manyRequests / 2; ++number) {
        others.push_back(this->send(*this->hosts[0], "POST", "/stream/x", {{"X-Request-Id", absl::StrCat("short-", number)}}, "prompt"));
    }
    EXPECT_EQ(this->wait(running).body, wholeStream(eventCount));
    EXPECT_TRUE(running->completed);
    for (const auto &answer : others) {
        EXPECT_EQ(this->wait(answer).head.status, 200);
    }
    EXPECT_EQ(this->upstreams[0]->received(), 1U);
}

// Guards against a statement that is missed because the answer is a refusal, which no caller sees.
TEST_F(LeavingUpstreamTest, refusalThatStatesItSuffices)
{
    this->start(2);
    this->upstreams[0]->setMode(UpstreamMode::Full);
    this->learnThatItLeaves(*this->upstreams[0]);
    runFor(this->loop, absl::Milliseconds(200));
    EXPECT_EQ(this->requestsThatReach(*this->upstreams[0]), 0U);
}

// Guards against further requests for the sender of a misdirected answer that states that it leaves, under its own id or under the
// one for which it answered.
TEST_F(LeavingUpstreamTest, misdirectedAnswerThatStatesItSuffices)
{
    this->start(2);
    this->upstreams[0]->setLeaving(true);
    this->registerUpstream(*this->upstreams[0], "other", "ready");
    const auto registerUnderOldId = [this](const std::string &id) {
        this->store.write(
            "servers", id, {{"service", "model"}, {"address", this->upstreams[0]->address()}, {"zone", "a"}, {"slots", 8}, {"state", "ready"}, {"born", 1}});
    };
    registerUnderOldId("up-former");
    runFor(this->loop, absl::Seconds(1));
    for (int number = 0; number < 200 && this->upstreams[0]->received() == 0; ++number) {
        EXPECT_EQ(this->requestOnce().head.status, 200);
    }
    ASSERT_EQ(this->upstreams[0]->received(), 1U);
    this->registerUpstream(*this->upstreams[0], "model", "ready");
    runFor(this->loop, absl::Seconds(1));
    EXPECT_EQ(this->requestsThatReach(*this->upstreams[0]), 0U);
}

// Guards against a statement that is missed because the answer is an error of the upstream.
TEST_F(LeavingUpstreamTest, errorThatStatesItSuffices)
{
    this->start(2, true);
    this->path = "/once/x";
    this->upstreams[0]->setMode(UpstreamMode::Failing);
    this->upstreams[1]->setMode(UpstreamMode::Full);
    this->upstreams[0]->setLeaving(true);
    const Answer &answer = this->requestOnce();
    EXPECT_EQ(answer.head.status, 500);
    EXPECT_EQ(answer.head.fields.find("server-leaving"), "1");
    this->upstreams[1]->setMode(UpstreamMode::Serving);
    EXPECT_EQ(this->requestsThatReach(*this->upstreams[0]), 0U);
}

// Guards against a retry at an upstream that has stated that it leaves in the answer to another request, when all others refuse.
TEST_F(LeavingUpstreamTest, retryDoesNotReturnToAnUpstreamThatLeaves)
{
    this->start(2, false, 1, absl::Milliseconds(60));
    this->upstreams[1]->setMode(UpstreamMode::Full);
    const auto resumed = this->send(*this->hosts[0], "POST", "/resumable/x", {{"X-Request-Id", "resumed"}}, "prompt");
    ASSERT_TRUE(runUntil(this->loop, [&resumed] { return !resumed->body.empty(); }));
    this->upstreams[0]->setLeaving(true);
    const auto other = this->send(*this->hosts[0], "POST", "/stream/x", {{"X-Request-Id", "other"}}, "prompt");
    ASSERT_TRUE(runUntil(this->loop, [&other] { return !other->body.empty(); }));
    const std::size_t before = this->upstreams[0]->received();
    this->upstreams[0]->setMode(UpstreamMode::CutsStreams);
    EXPECT_TRUE(this->wait(resumed).failed);
    EXPECT_EQ(this->upstreams[0]->received(), before);
}

// Guards against batch items for an upstream that has stated that it leaves.
TEST_F(LeavingUpstreamTest, batchItemsGoElsewhere)
{
    this->start(2);
    this->learnThatItLeaves(*this->upstreams[0]);
    const std::size_t before = this->upstreams[0]->received();
    EXPECT_EQ(this->submit(*this->hosts[0], "job-1", manyRequests), 202);
    const nlohmann::json results = this->readWholeJob(*this->hosts[0], "job-1", manyRequests);
    ASSERT_EQ(results.size(), static_cast<std::size_t>(manyRequests));
    for (const nlohmann::json &result : results) {
        EXPECT_EQ(result["state"], "completed");
    }
    EXPECT_EQ(this->upstreams[0]->received(), before);
}

// Guards against a host that sends requests to a leaving upstream until the upstream tells it so as well.
TEST_F(LeavingUpstreamTest, otherHostsLearnOfItBeforeTheStoreSaysSo)
{
    this->start(2, false, 2);
    this->store.setMode(ObjectApiMode::Silent);
    this->learnThatItLeaves(*this->upstreams[0]);
    // Announcements follow one another by half a second at most.
    runFor(this->loop, absl::Seconds(1));
    EXPECT_EQ(this->requestsThatReach(*this->upstreams[0], 1), 0U);
}

// Guards against requests for leaving upstreams as a last resort when all upstreams of a service leave, also when their
// registrations vanish, and against callers that wait for a refusal or get one that does not say that the request has not run.
TEST_F(LeavingUpstreamTest, requestIsRefusedWhenAllUpstreamsLeave)
{
    this->start(2);
    this->learnThatItLeaves(*this->upstreams[0]);
    this->learnThatItLeaves(*this->upstreams[1]);
    const std::size_t before = this->upstreams[0]->received() + this->upstreams[1]->received();
    const auto expectRefusal = [this] {
        const Answer &answer = this->requestOnce();
        EXPECT_EQ(answer.head.status, 503);
        EXPECT_TRUE(answer.head.fields.find("retry-after").has_value());
    };
    expectRefusal();
    this->store.erase("servers", this->upstreams[0]->id());
    this->store.erase("servers", this->upstreams[1]->id());
    for (int number = 0; number < 10; ++number) {
        runFor(this->loop, absl::Milliseconds(100));
        expectRefusal();
    }
    EXPECT_EQ(this->upstreams[0]->received() + this->upstreams[1]->received(), before);
}

} // namespace

} // namespace Bergamotramp
