#include "SiteFleet.h"

namespace Bergamotramp {

namespace {

constexpr int eventCount = 6;

class RequestTest : public SiteFleet
{
protected:
    void start(int modelUpstreams)
    {
        this->writeConfig(1);
        for (int number = 0; number < modelUpstreams; ++number) {
            this->addUpstream("model", eventCount);
        }
        this->addUpstream("plain", 0);
        this->startHosts(1);
    }

    [[nodiscard]] int runs(const std::string &id) const
    {
        int total = 0;
        for (const auto &upstream : this->upstreams) {
            const auto found = upstream->runs().find(id);
            total += found == upstream->runs().end() ? 0 : found->second;
        }
        return total;
    }
};

// Guards against a stream that reaches the caller incomplete, or without the signature field of its upstream.
TEST_F(RequestTest, streamsAreForwardedCompletely)
{
    this->start(1);
    const Answer &answer = this->request(*this->hosts[0], "/stream/x", "id-1");
    EXPECT_EQ(answer.head.status, 200);
    EXPECT_TRUE(answer.completed);
    EXPECT_EQ(answer.head.fields.find("x-response-signature"), "by-up-0");
    EXPECT_EQ(answer.body, wholeStream(eventCount));
}

// Guards against a resumable stream that ends when its upstream cuts it off, and against repeated or lost events or a second
// response head in the stream after it has been resumed at another upstream.
TEST_F(RequestTest, resumableStreamContinuesAtAnotherUpstream)
{
    this->start(2);
    this->upstreams[0]->setMode(UpstreamMode::CutsStreams);
    for (int number = 0; number < 6; ++number) {
        const Answer &answer = this->request(*this->hosts[0], "/resumable/x", "id-" + std::to_string(number));
        EXPECT_TRUE(answer.completed);
        EXPECT_EQ(answer.body, wholeStream(eventCount));
    }
}

// Guards against running a non-resumable stream twice after it was cut off, and against ending its response as if complete.
TEST_F(RequestTest, nonResumableStreamIsAborted)
{
    this->start(2);
    this->upstreams[0]->setMode(UpstreamMode::CutsStreams);
    this->upstreams[1]->setMode(UpstreamMode::CutsStreams);
    const Answer &answer = this->request(*this->hosts[0], "/stream/x", "id-1");
    EXPECT_FALSE(answer.completed);
    EXPECT_TRUE(answer.failed);
    EXPECT_EQ(this->runs("id-1"), 1);
}

// Guards against a non-idempotent request that runs twice, or is reported as not run, after its upstream's response was lost.
TEST_F(RequestTest, lostResponseToANonIdempotentRequestGets502)
{
    this->start(1);
    this->addUpstream("plain", 0);
    runFor(this->loop, absl::Seconds(1));
    this->upstreams[1]->setMode(UpstreamMode::AnswersLost);
    this->upstreams[2]->setMode(UpstreamMode::AnswersLost);
    const Answer &answer = this->request(*this->hosts[0], "/once/x", "id-1");
    EXPECT_EQ(answer.head.status, 502);
    EXPECT_EQ(this->runs("id-1"), 1);
}

// Guards against an idempotent request that fails with its first upstream although another upstream could answer it.
TEST_F(RequestTest, idempotentRequestIsRetried)
{
    this->start(1);
    this->addUpstream("plain", 0);
    runFor(this->loop, absl::Seconds(1));
    this->upstreams[1]->setMode(UpstreamMode::AnswersLost);
    for (int number = 0; number < 6; ++number) {
        EXPECT_EQ(this->request(*this->hosts[0], "/plain/x", "id-" + std::to_string(number)).head.status, 200);
    }
}

// Guards against a refusal without Retry-After, and against running a request that is refused.
TEST_F(RequestTest, refusedRequestHasNotRun)
{
    this->start(1);
    this->upstreams[0]->setMode(UpstreamMode::Full);
    const Answer &answer = this->request(*this->hosts[0], "/stream/x", "id-1");
    EXPECT_EQ(answer.head.status, 503);
    EXPECT_TRUE(answer.head.fields.find("retry-after").has_value());
    EXPECT_EQ(this->runs("id-1"), 0);
}

// Guards against a resumable request that stays at an upstream that sends nothing.
TEST_F(RequestTest, silentUpstreamIsReplaced)
{
    this->start(2);
    this->upstreams[0]->setMode(UpstreamMode::Silent);
    for (int number = 0; number < 4; ++number) {
        const Answer &answer = this->request(*this->hosts[0], "/resumable/x", "id-" + std::to_string(number));
        EXPECT_TRUE(answer.completed);
        EXPECT_EQ(answer.body, wholeStream(eventCount));
    }
    EXPECT_TRUE(runUntil(this->loop, [this] { return this->upstreams[0]->running() == 0; }));
}

// Guards against a caller that waits beyond the timeout of its route, and against an upstream that works on after it.
TEST_F(RequestTest, requestEndsAtTheTimeoutOfItsRoute)
{
    this->start(1);
    this->writeConfig(2, 300);
    this->upstreams[0]->setMode(UpstreamMode::Silent);
    runFor(this->loop, absl::Seconds(1));
    EXPECT_EQ(this->request(*this->hosts[0], "/stream/x", "id-1").head.status, 504);
    EXPECT_TRUE(runUntil(this->loop, [this] { return this->upstreams[0]->running() == 0; }));
}

// Guards against an upstream that works on a request whose caller has closed the connection.
TEST_F(RequestTest, requestIsCancelledWhenItsCallerDisconnects)
{
    this->start(1);
    this->upstreams[0]->setMode(UpstreamMode::Silent);
    const auto answer = this->send(*this->hosts[0], "POST", "/stream/x", {{"X-Request-Id", "id-1"}}, "prompt");
    ASSERT_TRUE(runUntil(this->loop, [this] { return this->upstreams[0]->running() == 1; }));
    answer->call.cancel();
    EXPECT_TRUE(runUntil(this->loop, [this] { return this->upstreams[0]->running() == 0; }));
}

// Guards against new requests to an upstream that is draining.
TEST_F(RequestTest, drainingUpstreamGetsNoRequests)
{
    this->start(2);
    this->registerUpstream(*this->upstreams[0], "model", "draining");
    runFor(this->loop, absl::Seconds(1));
    for (int number = 0; number < 4; ++number) {
        EXPECT_EQ(this->request(*this->hosts[0], "/stream/x", "id-" + std::to_string(number)).head.fields.find("x-response-signature"), "by-up-1");
    }
}

// Guards against a request that runs at the wrong service, because a registered address now belongs to another upstream.
TEST_F(RequestTest, upstreamWithAnotherIdDoesNotRunTheRequest)
{
    this->start(1);
    this->store.write(
        "servers", "up-gone", {{"service", "plain"}, {"address", this->upstreams[0]->address()}, {"zone", "a"}, {"slots", 8}, {"state", "ready"}});
    runFor(this->loop, absl::Seconds(1));
    for (int number = 0; number < 6; ++number) {
        EXPECT_EQ(this->request(*this->hosts[0], "/plain/x", "id-" + std::to_string(number)).body, "plain answer");
    }
    EXPECT_TRUE(this->upstreams[0]->runs().empty());
}

// Guards against malformed registrations or a malformed configuration in the store that stop a host, or keep it from using the
// valid upstreams.
TEST_F(RequestTest, malformedRegistrationsAreSkipped)
{
    this->start(1);
    this->store.write("servers", "odd-1", "text");
    this->store.write("servers", "odd-2", {{"service", 7}, {"address", "x"}, {"zone", "a"}, {"slots", "many"}, {"state", "ready"}});
    this->store.write("servers", "odd-3", {{"service", "model"}, {"address", "127.0.0.1:1"}, {"zone", "a"}, {"slots", 8}, {"state", "dancing"}});
    this->store.write("config", "main", {{"version", "odd"}});
    runFor(this->loop, absl::Seconds(1));
    EXPECT_EQ(this->request(*this->hosts[0], "/stream/x", "id-1").head.status, 200);
}

// Guards against a request that crashes each upstream that runs it and is forwarded again each time its caller resends it.
TEST_F(RequestTest, repeatedlyCrashingRequestIsRefused)
{
    this->start(2);
    this->upstreams[0]->setMode(UpstreamMode::AnswersLost);
    this->upstreams[1]->setMode(UpstreamMode::AnswersLost);
    for (int number = 0; number < 4; ++number) {
        this->request(*this->hosts[0], "/stream/x", "id-" + std::to_string(number));
    }
    EXPECT_EQ(this->request(*this->hosts[0], "/stream/x", "id-last").head.status, 503);
    EXPECT_EQ(this->runs("id-last"), 0);
}

// Guards against a host that collects bytes without end from an upstream that sends no answer, until it runs out of memory, and
// against a request that waits for this upstream until its deadline although another one could serve it.
TEST_F(RequestTest, endlessBodyIsCutOffAndTheRequestMoved)
{
    this->start(2);
    this->upstreams[0]->setMode(UpstreamMode::EndlessBody);
    for (int number = 0; number < 6; ++number) {
        const Answer &answer = this->request(*this->hosts[0], "/resumable/x", "id-" + std::to_string(number));
        EXPECT_TRUE(answer.completed);
        EXPECT_EQ(answer.body, wholeStream(eventCount));
    }
    EXPECT_TRUE(runUntil(this->loop, [this] { return this->upstreams[0]->running() == 0; }));
    const auto endless = static_cast<std::size_t>(this->upstreams[0]->runs().size());
    ASSERT_GT(endless, 0U);
    // The sockets' buffers hold some more than the host accepts.
    EXPECT_LT(this->upstreams[0]->endlessBytes(), endless * 4 * EventStreamParser::maxEventBytes);
}

// The same for an answer that is no stream and therefore collected whole.
TEST_F(RequestTest, endlessPlainAnswerIsCutOff)
{
    this->start(1);
    this->upstreams[1]->setMode(UpstreamMode::EndlessBody);
    const Answer &answer = this->request(*this->hosts[0], "/plain/x", "id-1");
    EXPECT_EQ(answer.head.status, 502);
    EXPECT_TRUE(runUntil(this->loop, [this] { return this->upstreams[1]->running() == 0; }));
    EXPECT_LT(this->upstreams[1]->endlessBytes(), 4 * UpstreamAttempt::maxCollectedBytes);
}

// Guards against a request that stays with an upstream which sends a byte now and then but no event.
TEST_F(RequestTest, trickledEventIsNoProgress)
{
    this->start(2);
    this->upstreams[0]->setMode(UpstreamMode::TrickledEvent);
    for (int number = 0; number < 4; ++number) {
        const Answer &answer = this->request(*this->hosts[0], "/resumable/x", "id-" + std::to_string(number));
        EXPECT_TRUE(answer.completed);
        EXPECT_EQ(answer.body, wholeStream(eventCount));
    }
}

// Guards against a host that reports ready, or answers 404, before it has a configuration.
TEST_F(RequestTest, hostWithoutConfigurationIsNotReady)
{
    this->startHost("host-0");
    runFor(this->loop, absl::Seconds(1));
    EXPECT_FALSE(this->hosts[0]->host->ready());
    EXPECT_EQ(this->request(*this->hosts[0], "/stream/x", "id-1").head.status, 503);
    this->writeConfig(1);
    ASSERT_TRUE(runUntil(this->loop, [this] { return this->hosts[0]->host->ready(); }));
    EXPECT_EQ(this->request(*this->hosts[0], "/nowhere/x", "id-2").head.status, 404);
}

// Guards against a host that starts while the store is unavailable and never finds the other hosts after the store is back.
TEST_F(RequestTest, hostStartedWithoutTheStoreFindsTheOthersLater)
{
    this->writeConfig(1);
    this->addUpstream("model", 3);
    this->startHosts(1);
    this->store.setMode(ObjectApiMode::Busy);
    const RunningHost &late = this->startHost("host-late");
    runFor(this->loop, absl::Milliseconds(300));
    this->store.setMode(ObjectApiMode::Serving);
    const auto knowsBoth = [this, &late] {
        const Answer &answer = this->wait(this->send(late, "GET", "/bergamotramp/resolve?name=x&region=north&zone=a", {}));
        return answer.head.status == 200 && nlohmann::json::parse(answer.body).at("addresses").size() == 2;
    };
    bool found = false;
    for (int attempt = 0; attempt < 100 && !found; ++attempt) {
        runFor(this->loop, absl::Milliseconds(100));
        found = knowsBoth();
    }
    EXPECT_TRUE(found);
}

} // namespace

} // namespace Bergamotramp
