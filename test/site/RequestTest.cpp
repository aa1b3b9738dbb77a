#include "SiteFleet.h"

namespace Bergamotramp {

namespace {

constexpr int eventCount = 6;

class RequestTest : public SiteFleet
{
protected:
    void start(int models)
    {
        this->writeConfig(1);
        for (int number = 0; number < models; ++number) {
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

// Guards against a stream that is not passed on whole, with the receipt of its upstream.
TEST_F(RequestTest, streamsArePassedOnWhole)
{
    this->start(1);
    const Answer &answer = this->request(*this->hosts[0], "/stream/x", "id-1");
    EXPECT_EQ(answer.head.status, 200);
    EXPECT_TRUE(answer.completed);
    EXPECT_EQ(answer.head.fields.find("x-response-signature"), "by-up-0");
    EXPECT_EQ(answer.body, wholeStream(eventCount));
}

// Guards against a resumable stream that ends with its upstream, repeats events, or joins two answers' headers.
TEST_F(RequestTest, resumableStreamGoesOnElsewhere)
{
    this->start(2);
    this->upstreams[0]->setMode(UpstreamMode::CutsStreams);
    for (int number = 0; number < 6; ++number) {
        const Answer &answer = this->request(*this->hosts[0], "/resumable/x", "id-" + std::to_string(number));
        EXPECT_TRUE(answer.completed);
        EXPECT_EQ(answer.body, wholeStream(eventCount));
    }
}

// Guards against a stream that may run only once and is run twice, and against its cut answer that looks complete.
TEST_F(RequestTest, otherStreamsAreBrokenOff)
{
    this->start(2);
    this->upstreams[0]->setMode(UpstreamMode::CutsStreams);
    this->upstreams[1]->setMode(UpstreamMode::CutsStreams);
    const Answer &answer = this->request(*this->hosts[0], "/stream/x", "id-1");
    EXPECT_FALSE(answer.completed);
    EXPECT_TRUE(answer.failed);
    EXPECT_EQ(this->runs("id-1"), 1);
}

// Guards against a non-idempotent request that runs twice, or is answered as not run although it has.
TEST_F(RequestTest, lostAnswerOfANonIdempotentRequestIsUnknown)
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

// Guards against an idempotent request that fails although another upstream would have answered it.
TEST_F(RequestTest, idempotentRequestIsSentAgain)
{
    this->start(1);
    this->addUpstream("plain", 0);
    runFor(this->loop, absl::Seconds(1));
    this->upstreams[1]->setMode(UpstreamMode::AnswersLost);
    for (int number = 0; number < 6; ++number) {
        EXPECT_EQ(this->request(*this->hosts[0], "/plain/x", "id-" + std::to_string(number)).head.status, 200);
    }
}

// Guards against a refusal without the time after which to come back, or one that comes although a request has run.
TEST_F(RequestTest, refusalSaysThatNothingHasRun)
{
    this->start(1);
    this->upstreams[0]->setMode(UpstreamMode::Full);
    const Answer &answer = this->request(*this->hosts[0], "/stream/x", "id-1");
    EXPECT_EQ(answer.head.status, 503);
    EXPECT_TRUE(answer.head.fields.find("retry-after").has_value());
    EXPECT_EQ(this->runs("id-1"), 0);
}

// Guards against a silent upstream that holds a request which may be repeated.
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

// Guards against a caller that is kept waiting past the time-out of its route.
TEST_F(RequestTest, answerComesAtTheTimeout)
{
    this->start(1);
    this->writeConfig(2, 300);
    this->upstreams[0]->setMode(UpstreamMode::Silent);
    runFor(this->loop, absl::Seconds(1));
    EXPECT_EQ(this->request(*this->hosts[0], "/stream/x", "id-1").head.status, 504);
    EXPECT_TRUE(runUntil(this->loop, [this] { return this->upstreams[0]->running() == 0; }));
}

// Guards against work for a caller that has left.
TEST_F(RequestTest, callerThatLeavesCancelsTheUpstream)
{
    this->start(1);
    this->upstreams[0]->setMode(UpstreamMode::Silent);
    const auto answer = this->send(*this->hosts[0], "POST", "/stream/x", {{"X-Request-Id", "id-1"}}, "prompt");
    ASSERT_TRUE(runUntil(this->loop, [this] { return this->upstreams[0]->running() == 1; }));
    answer->call.cancel();
    EXPECT_TRUE(runUntil(this->loop, [this] { return this->upstreams[0]->running() == 0; }));
}

// Guards against requests for an upstream that leaves.
TEST_F(RequestTest, leavingUpstreamGetsNothing)
{
    this->start(2);
    this->registerUpstream(*this->upstreams[0], "model", "draining");
    runFor(this->loop, absl::Seconds(1));
    for (int number = 0; number < 4; ++number) {
        EXPECT_EQ(this->request(*this->hosts[0], "/stream/x", "id-" + std::to_string(number)).head.fields.find("x-response-signature"), "by-up-1");
    }
}

// Guards against a request that reaches another service, because an address was given to another upstream.
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

// Guards against an entry of another writer that stops a host, or hides the upstreams that can be used.
TEST_F(RequestTest, unreadableRegistrationsAreSkipped)
{
    this->start(1);
    this->store.write("servers", "odd-1", "text");
    this->store.write("servers", "odd-2", {{"service", 7}, {"address", "x"}, {"zone", "a"}, {"slots", "many"}, {"state", "ready"}});
    this->store.write("servers", "odd-3", {{"service", "model"}, {"address", "127.0.0.1:1"}, {"zone", "a"}, {"slots", 8}, {"state", "dancing"}});
    this->store.write("config", "main", {{"version", "odd"}});
    runFor(this->loop, absl::Seconds(1));
    EXPECT_EQ(this->request(*this->hosts[0], "/stream/x", "id-1").head.status, 200);
}

// Guards against a request that crashes each upstream, comes again and is sent on every time.
TEST_F(RequestTest, crashingRequestIsRefusedInTheEnd)
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

// Guards against a 404 from a host that does not know the configuration, and a host that is ready without one.
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

// Guards against a host that starts while the store is away and then never learns of the other hosts.
TEST_F(RequestTest, hostThatStartsWithoutTheStoreMeetsTheOthersLater)
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
    bool met = false;
    for (int attempt = 0; attempt < 100 && !met; ++attempt) {
        runFor(this->loop, absl::Milliseconds(100));
        met = knowsBoth();
    }
    EXPECT_TRUE(met);
}

} // namespace

} // namespace Bergamotramp
