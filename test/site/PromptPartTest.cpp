#include "SiteFleet.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

namespace Bergamotramp {

namespace {

constexpr int eventCount = 2;
constexpr absl::Duration eventInterval = absl::Milliseconds(40);
constexpr absl::Duration restartDelay = absl::Milliseconds(1500);
constexpr const char *prefixField = "X-Prompt-Prefix";
constexpr const char *deadlyPart = "91bd3f06:";
// From this time after the fifth crash on, at most this many requests with the deadly part may reach upstreams.
constexpr std::size_t crashesBeforeLimit = 5;
constexpr absl::Duration limitDelay = absl::Seconds(4);
constexpr int maxDeadlyRuns = 3;
constexpr std::size_t slots = 8;

class PromptPartTest : public SiteFleet
{
protected:
    void start(int hostCount, int upstreamCount)
    {
        this->writeConfig(1);
        for (int number = 0; number < upstreamCount; ++number) {
            UpstreamOptions options;
            options.slots = slots;
            options.restartDelay = restartDelay;
            options.onRun = [this](const std::string &id) { this->runLog.emplace_back(this->loop.now(), id); };
            options.crashesOn = [this](const HttpRequest &request) {
                const bool crashes = this->partIsDeadly && absl::StrContains(std::string(request.fields.find(prefixField).value_or("")), deadlyPart);
                if (crashes) {
                    this->crashes.push_back(this->loop.now());
                }
                return crashes;
            };
            this->addUpstream("model", eventCount, eventInterval, options);
        }
        this->startHosts(hostCount);
    }

    std::shared_ptr<Answer> sendPrompt(const RunningHost &host, const std::string &id, const std::string &parts, const std::string &path = "/stream/x")
    {
        const std::string ownPart = absl::StrCat(absl::Hex(0xe4400000U + ++this->prompts), ":250");
        return this->send(host, "POST", path, {{"X-Request-Id", id}, {"X-Deadline-Ms", "5000"}, {prefixField, absl::StrCat(parts, ",", ownPart)}}, id);
    }

    /** A request that shares its first part with all others and holds the deadly part. */
    std::shared_ptr<Answer> sendDeadly(const RunningHost &host, const std::string &path = "/stream/x")
    {
        return this->sendPrompt(host, absl::StrCat("deadly-", this->prompts), absl::StrCat("5c1e07a2:800,", deadlyPart, "410,7:20"), path);
    }

    std::shared_ptr<Answer> sendSound(const RunningHost &host, const std::string &path = "/stream/x")
    {
        return this->sendPrompt(host, absl::StrCat("sound-", this->prompts), "5c1e07a2:800,33aa:410,7:20", path);
    }

    /** Number of runs since @p from of requests whose ids begin with @p prefix. */
    [[nodiscard]] int runsSince(absl::Time from, const std::string &prefix) const
    {
        return static_cast<int>(
            std::ranges::count_if(this->runLog, [&](const auto &run) { return run.first >= from && absl::StartsWith(run.second, prefix); }));
    }

    /**
     * Sends a request with the deadly part to each host in turn until one is refused without a run, and a sound one after each: these
     * show which of the shared parts is deadly. Returns whether one was refused.
     */
    bool sendDeadlyUntilRefused()
    {
        for (std::size_t number = 0; number < 4 * this->hosts.size(); ++number) {
            const absl::Time before = this->loop.now();
            const Answer &answer = this->wait(this->sendDeadly(*this->hosts[number % this->hosts.size()]));
            if (answer.head.status == 503 && this->runsSince(before, "deadly") == 0) {
                return true;
            }
            runFor(this->loop, absl::Milliseconds(200));
            EXPECT_EQ(this->wait(this->sendSound(*this->hosts[number % this->hosts.size()])).head.status, 200);
        }
        return false;
    }

    std::vector<std::pair<absl::Time, std::string>> runLog;
    std::vector<absl::Time> crashes;
    std::uint32_t prompts = 0;
    bool partIsDeadly = true;
};

// Guards against requests that are all different but share a part on which each upstream crashes: they take one upstream after the
// other without end, at whatever hosts they arrive. Also against refusing the requests that share only other parts with them.
TEST_F(PromptPartTest, fewRequestsWithADeadlyPartReachUpstreams)
{
    this->start(3, 6);
    std::vector<std::shared_ptr<Answer>> sound;
    const absl::Time giveUp = this->loop.now() + absl::Seconds(30);
    const auto limitStart = [this] {
        return this->crashes.size() < crashesBeforeLimit ? absl::InfiniteFuture() : this->crashes[crashesBeforeLimit - 1] + limitDelay;
    };
    int round = 0;
    // The deadly requests may be refused before a fifth crash.
    const absl::Time started = this->loop.now();
    while (this->loop.now() < std::min(limitStart(), started + absl::Seconds(8)) + absl::Seconds(6) && this->loop.now() < giveUp) {
        const RunningHost &host = *this->hosts[static_cast<std::size_t>(round) % this->hosts.size()];
        if (++round % 4 == 0) {
            this->sendDeadly(host, round % 8 == 0 ? "/stream/x" : "/resumable/x");
        }
        const auto answer = this->sendSound(host);
        if (this->loop.now() > started + limitDelay) {
            sound.push_back(answer);
        }
        runFor(this->loop, absl::Milliseconds(25));
    }
    const absl::Time from = std::min(limitStart(), started + absl::Seconds(8));
    const int deadlyRuns = this->runsSince(from, "deadly");
    RecordProperty("runsWithTheDeadlyPart", deadlyRuns);
    RecordProperty("crashes", static_cast<int>(this->crashes.size()));
    EXPECT_LE(deadlyRuns, maxDeadlyRuns);
    ASSERT_TRUE(runUntil(this->loop, [&sound] { return std::ranges::all_of(sound, [](const auto &answer) { return answer->ended(); }); }));
    const auto served = std::ranges::count_if(sound, [](const auto &answer) { return answer->completed && answer->head.status == 200; });
    // A crash interrupts the requests that run beside the deadly one.
    const int deadlyRunsBeside = this->runsSince(started + limitDelay, "deadly");
    EXPECT_GE(served + deadlyRunsBeside * static_cast<int>(slots), static_cast<int>(sound.size()));
    EXPECT_EQ(std::ranges::count_if(sound, [](const auto &answer) { return answer->head.status == 503; }), 0);
}

// Guards against crashes that each host counts by itself, so that a part crashes as many upstreams at each host.
TEST_F(PromptPartTest, crashesSeenByDifferentHostsAddUp)
{
    this->start(3, 6);
    for (const auto &host : this->hosts) {
        this->wait(this->sendDeadly(*host));
        runFor(this->loop, absl::Milliseconds(200));
        EXPECT_TRUE(this->wait(this->sendSound(*host)).completed);
    }
    ASSERT_EQ(this->crashes.size(), 3U);
    const Answer &refused = this->wait(this->sendDeadly(*this->hosts[0]));
    EXPECT_EQ(refused.head.status, 503);
    EXPECT_TRUE(refused.head.fields.find("retry-after").has_value());
    EXPECT_EQ(this->crashes.size(), 3U);
    EXPECT_EQ(this->wait(this->sendSound(*this->hosts[1])).head.status, 200);
}

// Guards against a host that has restarted and sends requests with a deadly part again.
TEST_F(PromptPartTest, restartedHostKnowsTheDeadlyPart)
{
    this->start(3, 6);
    ASSERT_TRUE(this->sendDeadlyUntilRefused());
    this->crashHost(*this->hosts[2]);
    const RunningHost &restarted = this->startHost("host-2");
    ASSERT_TRUE(runUntil(this->loop, [&restarted] { return restarted.host->ready(); }));
    runFor(this->loop, absl::Seconds(1));
    const absl::Time before = this->loop.now();
    EXPECT_EQ(this->wait(this->sendDeadly(restarted)).head.status, 503);
    EXPECT_EQ(this->runsSince(before, "deadly"), 0);
    EXPECT_EQ(this->wait(this->sendSound(restarted)).head.status, 200);
}

// Guards against a part that stays refused, or stays so at some hosts, after the upstreams no longer crash on it.
TEST_F(PromptPartTest, trialLiftsTheQuarantineAtAllHosts)
{
    this->start(3, 6);
    ASSERT_TRUE(this->sendDeadlyUntilRefused());
    this->partIsDeadly = false;
    const absl::Time end = this->loop.now() + absl::Seconds(35);
    bool served = false;
    for (std::size_t round = 0; !served && this->loop.now() < end; ++round) {
        served = this->wait(this->sendDeadly(*this->hosts[round % this->hosts.size()])).head.status == 200;
        runFor(this->loop, absl::Milliseconds(50));
    }
    ASSERT_TRUE(served);
    runFor(this->loop, absl::Seconds(1));
    for (const auto &host : this->hosts) {
        EXPECT_EQ(this->wait(this->sendDeadly(*host)).head.status, 200);
    }
}

// Guards against a malformed header that blames parts at random, and against blaming the part of the request itself.
TEST(PromptPartHeaderTest, lastPartAndMalformedHeadersAreLeftOut)
{
    EventLoop loop;
    EntryMetrics metrics;
    const PlatformAdapter platform = connectPlatform(loop, "127.0.0.1:1", metrics);
    const auto sharedParts = [&platform](const std::string &header) {
        const HttpRequest request{.method = "POST", .target = "/stream/x", .fields = {{prefixField, header}}, .body = {}};
        return platform.serving.decodeCall(request).sharedPromptParts;
    };
    EXPECT_EQ(sharedParts("5c1e07a2:800, 91BD3F06:410,e4402b7d:250"), (std::vector<std::uint64_t>{0x5c1e07a2, 0x91bd3f06}));
    EXPECT_EQ(sharedParts("ffffffffffffffff:1,1:1"), (std::vector<std::uint64_t>{0xffffffffffffffff}));
    for (const char *malformed : {"", "5c1e07a2:800", "x:1,1:1", "1:1,2", "1:1,2:x", "1:,2:1", ":1,2:1", "1:1,", "1ffffffffffffffff:1,2:1", "-1:1,2:1"}) {
        EXPECT_TRUE(sharedParts(malformed).empty()) << malformed;
    }
}

// Guards against refusing a part that all requests share, after the connections to all upstreams have been reset at once several times.
TEST_F(PromptPartTest, resetOfAllConnectionsRefusesNoPart)
{
    this->start(3, 6);
    for (int reset = 0; reset < 4; ++reset) {
        std::vector<std::shared_ptr<Answer>> sent;
        for (int number = 0; number < 24; ++number) {
            sent.push_back(this->sendSound(*this->hosts[static_cast<std::size_t>(number) % this->hosts.size()], "/resumable/x"));
        }
        runFor(this->loop, eventInterval / 2);
        for (const auto &upstream : this->upstreams) {
            upstream->resetConnections();
        }
        for (const auto &answer : sent) {
            EXPECT_NE(this->wait(answer).head.status, 503);
        }
    }
    for (const auto &host : this->hosts) {
        EXPECT_EQ(this->wait(this->sendSound(*host)).head.status, 200);
    }
}

// Guards against refusing a part that all requests share, after all upstreams have failed at once with requests in flight.
TEST_F(PromptPartTest, outageOfAllUpstreamsRefusesNoPart)
{
    this->start(3, 6);
    std::vector<std::shared_ptr<Answer>> sent;
    for (int number = 0; number < 24; ++number) {
        sent.push_back(this->sendSound(*this->hosts[static_cast<std::size_t>(number) % this->hosts.size()], "/resumable/x"));
    }
    runFor(this->loop, eventInterval / 2);
    for (const auto &upstream : this->upstreams) {
        upstream->crash();
    }
    for (const auto &answer : sent) {
        this->wait(answer);
    }
    runFor(this->loop, restartDelay + absl::Seconds(1));
    for (const auto &host : this->hosts) {
        EXPECT_EQ(this->wait(this->sendSound(*host)).head.status, 200);
    }
}

} // namespace

} // namespace Bergamotramp
