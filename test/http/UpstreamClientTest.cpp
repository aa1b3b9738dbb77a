#include "UpstreamClient.h"

#include <algorithm>
#include <thread>

#include <absl/strings/str_split.h>
#include <absl/time/clock.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "FaultProxy.h"
#include "StandinEngine.h"
#include "StandinText.h"

namespace Bergamotramp {

namespace {

constexpr absl::Duration testTimeout = absl::Seconds(30);
constexpr const char *prompt = "the prompt";

UpstreamCall completion(const std::string &text, std::int64_t tokens, const std::string &id = "attempt-1")
{
    UpstreamCall call;
    call.path = "/v1/completions";
    call.headers = {{"X-Request-Id", id}};
    call.body = nlohmann::json{{"prompt", text}, {"max_tokens", tokens}, {"stream", true}}.dump();
    call.silenceTimeout = testTimeout;
    return call;
}

/** Returns the text of the events and whether the end marker was received. */
std::pair<std::string, bool> textOf(const std::string &body)
{
    std::pair<std::string, bool> result;
    const std::vector<std::string> lines = absl::StrSplit(body, '\n');
    for (const std::string &line : lines) {
        if (line == "data: [DONE]") {
            result.second = true;
        } else if (line.starts_with("data: ")) {
            result.first += nlohmann::json::parse(line.substr(6)).at("choices").at(0).at("text").get<std::string>();
        }
    }
    return result;
}

/** Waits until @p condition holds; returns false after the test timeout. */
template <typename Condition>
bool waitUntil(const Condition &condition)
{
    const absl::Time end = absl::Now() + testTimeout;
    while (!condition()) {
        if (absl::Now() > end) {
            return false;
        }
        absl::SleepFor(absl::Milliseconds(2));
    }
    return true;
}

class UpstreamClientTest : public testing::Test
{
protected:
    StandinEngine engine;
    UpstreamClient client{testTimeout};
    CallCancellation cancellation;
};

TEST_F(UpstreamClientTest, deliversTheWholeStream)
{
    const CallResult result = this->client.call(this->engine.address(), completion(prompt, 20), this->cancellation);
    EXPECT_EQ(result.outcome, CallOutcome::Completed);
    EXPECT_EQ(result.status, 200);
    EXPECT_EQ(result.contentType, "text/event-stream");
    EXPECT_EQ(textOf(result.body), std::make_pair(standinAnswer(prompt, 20), true));
}

// Guards against a stream that is taken for complete because its connection was closed.
TEST_F(UpstreamClientTest, crashOfTheUpstreamBreaksOtherStreams)
{
    std::string body;
    bool crashed = false;
    const auto crashOnFirstPiece = [&](std::string_view piece) {
        body.append(piece);
        if (!crashed) {
            crashed = true;
            CallCancellation other;
            EXPECT_EQ(this->client.call(this->engine.address(), completion("[[crash]]", 5, "attempt-2"), other).outcome, CallOutcome::ConnectionLost);
        }
        return true;
    };
    const CallResult result =
        this->client.stream(this->engine.address(), completion(prompt, 100'000), this->cancellation, UpstreamClient::Receiver{nullptr, crashOnFirstPiece});
    EXPECT_EQ(result.outcome, CallOutcome::ConnectionLost);
    EXPECT_FALSE(textOf(body).second);
}

TEST_F(UpstreamClientTest, receiverCancelsTheStream)
{
    const UpstreamClient::Receiver rejectFirstPiece{nullptr, [](std::string_view) { return false; }};
    const CallResult result = this->client.stream(this->engine.address(), completion(prompt, 100'000), this->cancellation, rejectFirstPiece);
    EXPECT_EQ(result.outcome, CallOutcome::Cancelled);
    EXPECT_TRUE(waitUntil([this] { return this->engine.counters().cancelled == 1 && this->engine.counters().running == 0; }));
}

// Guards against a hedged attempt that keeps running on its upstream after the other attempt has won.
TEST_F(UpstreamClientTest, anotherThreadCancelsTheStream)
{
    std::thread cancellingThread([this] {
        EXPECT_TRUE(waitUntil([this] { return this->engine.counters().tokens > 0; }));
        this->cancellation.cancel();
    });
    const CallResult result = this->client.call(this->engine.address(), completion(prompt, 100'000), this->cancellation);
    cancellingThread.join();
    EXPECT_EQ(result.outcome, CallOutcome::Cancelled);
    EXPECT_TRUE(waitUntil([this] { return this->engine.counters().cancelled == 1 && this->engine.counters().running == 0; }));
}

TEST_F(UpstreamClientTest, cancelledCallIsNotSent)
{
    this->cancellation.cancel();
    EXPECT_EQ(this->client.call(this->engine.address(), completion(prompt, 5), this->cancellation).outcome, CallOutcome::Cancelled);
    EXPECT_EQ(this->engine.counters().started, 0U);
}

// Guards against a response that lacks tokens after its stream was resumed.
TEST_F(UpstreamClientTest, resumedStreamSendsOnlyTheRest)
{
    std::string first;
    const UpstreamClient::Receiver someTokens{nullptr, [&first](std::string_view piece) {
                                                  first.append(piece);
                                                  return std::count(first.begin(), first.end(), '\n') < 10;
                                              }};
    this->client.stream(this->engine.address(), completion(prompt, 50), this->cancellation, someTokens);
    ASSERT_TRUE(waitUntil([this] { return this->engine.counters().cancelled == 1; }));
    UpstreamCall resume = completion(prompt, 50, "attempt-2");
    resume.headers.emplace_back("X-Resume-Stream", "attempt-1");
    CallCancellation second;
    const CallResult rest = this->client.call(this->engine.address(), resume, second);
    EXPECT_EQ(rest.outcome, CallOutcome::Completed);
    const auto [text, ended] = textOf(rest.body);
    EXPECT_TRUE(ended);
    EXPECT_TRUE(standinAnswer(prompt, 50).ends_with(text));
    EXPECT_LT(text.size(), standinAnswer(prompt, 50).size());
    EXPECT_EQ(this->client.call(this->engine.address(), resume, second).status, 409);
}

TEST_F(UpstreamClientTest, callToAnAbsentUpstreamIsNotSent)
{
    std::string address;
    {
        const StandinEngine gone;
        address = gone.address();
    }
    EXPECT_EQ(this->client.call(address, completion(prompt, 5), this->cancellation).outcome, CallOutcome::NotSent);
    EXPECT_EQ(this->client.probe(address, testTimeout), ProbeResult::Refused);
    EXPECT_EQ(this->client.probe(this->engine.address(), testTimeout), ProbeResult::Healthy);
}

class ProxiedUpstreamClientTest : public UpstreamClientTest
{
protected:
    void setFaults(const std::function<void(RouteFaults &)> &change)
    {
        RouteFaults faults = this->proxy.faults("engine");
        change(faults);
        this->proxy.setFaults("engine", faults);
    }

    FaultProxy proxy;
    std::string address = this->proxy.addRoute("engine", this->engine.address());
};

TEST_F(ProxiedUpstreamClientTest, reusesItsConnection)
{
    for (int number = 0; number < 3; ++number) {
        const CallResult result = this->client.call(this->address, completion(prompt, 3), this->cancellation);
        EXPECT_EQ(textOf(result.body), std::make_pair(standinAnswer(prompt, 3), true));
    }
    EXPECT_EQ(this->proxy.counters("engine").connections, 1U);
}

// Guards against a connection without traffic that is mistaken for a lost connection or for an upstream that is down.
TEST_F(ProxiedUpstreamClientTest, frozenConnectionTimesOutWhileNewOnesWork)
{
    UpstreamCall call = completion(prompt, 100'000);
    call.silenceTimeout = absl::Milliseconds(200);
    const UpstreamClient::Receiver freezeOnFirstPiece{nullptr, [this](std::string_view) {
                                                          this->proxy.freeze("engine", RouteFreeze::Existing);
                                                          return true;
                                                      }};
    EXPECT_EQ(this->client.stream(this->address, call, this->cancellation, freezeOnFirstPiece).outcome, CallOutcome::TimedOut);
    EXPECT_EQ(this->client.probe(this->address, testTimeout), ProbeResult::Healthy);
    CallCancellation second;
    EXPECT_EQ(this->client.call(this->address, completion(prompt, 3), second).outcome, CallOutcome::Completed);
}

// Guards against a request that is reported as not run although only its response was lost.
TEST_F(ProxiedUpstreamClientTest, droppedResponseIsALostConnection)
{
    this->setFaults([](RouteFaults &faults) { faults.repliesToDrop = 1; });
    EXPECT_EQ(this->client.call(this->address, completion(prompt, 3), this->cancellation).outcome, CallOutcome::ConnectionLost);
    EXPECT_EQ(this->engine.counters().started, 1U);
    EXPECT_EQ(this->client.call(this->address, completion(prompt, 3), this->cancellation).outcome, CallOutcome::Completed);
}

TEST_F(ProxiedUpstreamClientTest, cutRouteRefusesConnectionsUntilItIsRestored)
{
    const UpstreamClient::Receiver cutOnFirstPiece{nullptr, [this](std::string_view) {
                                                       this->setFaults([](RouteFaults &faults) { faults.cut = true; });
                                                       return true;
                                                   }};
    EXPECT_EQ(this->client.stream(this->address, completion(prompt, 100'000), this->cancellation, cutOnFirstPiece).outcome, CallOutcome::ConnectionLost);
    EXPECT_EQ(this->client.call(this->address, completion(prompt, 3), this->cancellation).outcome, CallOutcome::NotSent);
    this->setFaults([](RouteFaults &faults) { faults.cut = false; });
    EXPECT_EQ(this->client.call(this->address, completion(prompt, 3), this->cancellation).outcome, CallOutcome::Completed);
}

TEST_F(ProxiedUpstreamClientTest, oneWayLossTimesOut)
{
    this->setFaults([](RouteFaults &faults) { faults.lossToClient = true; });
    UpstreamCall call = completion(prompt, 3);
    call.silenceTimeout = absl::Milliseconds(200);
    EXPECT_EQ(this->client.call(this->address, call, this->cancellation).outcome, CallOutcome::TimedOut);
    EXPECT_TRUE(waitUntil([this] { return this->engine.counters().started == 1; }));
}

// Guards against a dying upstream that is reported as unresponsive because its listening socket briefly outlives its connections.
TEST_F(ProxiedUpstreamClientTest, probeReportsRefusedOnceAListenerThatDropsConnectionsIsClosed)
{
    const std::string dying = this->proxy.addRoute("dying", "127.0.0.1:1");
    std::thread cuttingThread([this] {
        EXPECT_TRUE(waitUntil([this] { return this->proxy.counters("dying").connections > 0; }));
        RouteFaults faults;
        faults.cut = true;
        this->proxy.setFaults("dying", faults);
    });
    EXPECT_EQ(this->client.probe(dying, testTimeout), ProbeResult::Refused);
    cuttingThread.join();
}

// Guards against a fault proxy that corrupts the data that it delays or throttles.
TEST_F(ProxiedUpstreamClientTest, slowRouteDeliversTheWholeResponse)
{
    this->proxy.addRoute("slow", this->engine.address(), 0, "region");
    this->proxy.setGroupLimit("region", 200'000);
    this->setFaults([](RouteFaults &faults) {
        faults.delayToTarget = absl::Milliseconds(12);
        faults.delayToClient = absl::Milliseconds(12);
        faults.bytesPerSecond = 100'000;
    });
    const CallResult result = this->client.call(this->address, completion(prompt, 200), this->cancellation);
    EXPECT_EQ(textOf(result.body), std::make_pair(standinAnswer(prompt, 200), true));
}

} // namespace

} // namespace Bergamotramp
