#include "SiteFleet.h"

#include <algorithm>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

namespace Bergamotramp {

namespace {

constexpr int eventCount = 6;
constexpr absl::Duration window = absl::Seconds(4);
// What an upstream may get within a window: one and a half times its limit and some requests more.
constexpr double allowedShare = 1.5;
constexpr double allowedExtra = 5;
// From this long after an upstream has stated a limit for the first time, it may not be exceeded.
constexpr absl::Duration noticeTime = absl::Milliseconds(500);

class RequestLimitTest : public SiteFleet
{
protected:
    void start(int hostCount, int upstreamCount)
    {
        this->writeConfig(1);
        for (int number = 0; number < upstreamCount; ++number) {
            this->addUpstream("model", eventCount);
        }
        this->startHosts(hostCount);
    }

    /** Sends @p perSecond requests a second for @p duration, to the hosts in turn. */
    void sendRequests(double perSecond, absl::Duration duration)
    {
        const absl::Time end = absl::Now() + duration;
        while (absl::Now() < end) {
            const std::size_t number = this->sentCount++;
            const RunningHost &host = *this->hosts[number % this->hosts.size()];
            if (host.host != nullptr) {
                this->send(host, "POST", "/resumable/x", {{"X-Request-Id", absl::StrCat("id-", number)}, {"X-Deadline-Ms", "5000"}}, "prompt");
            }
            runFor(this->loop, absl::Seconds(1) / perSecond);
        }
    }

    /** The largest number of requests that reached @p upstream within any window that begins after @p from. */
    static std::size_t mostWithinWindow(const StandinUpstream &upstream, absl::Time from)
    {
        const std::vector<absl::Time> &arrivals = upstream.arrivals();
        std::size_t most = 0;
        for (auto first = std::ranges::lower_bound(arrivals, from); first != arrivals.end(); ++first) {
            const auto end = std::upper_bound(first, arrivals.end(), *first + window);
            most = std::max(most, static_cast<std::size_t>(end - first));
        }
        return most;
    }

    static std::size_t receivedSince(const StandinUpstream &upstream, absl::Time from)
    {
        return static_cast<std::size_t>(upstream.arrivals().end() - std::ranges::lower_bound(upstream.arrivals(), from));
    }

    static double allowed(double limit)
    {
        return allowedShare * limit * absl::ToDoubleSeconds(window) + allowedExtra;
    }

    std::size_t sentCount = 0;
};

// Guards against a limited upstream that gets the usual share of the requests, and against one that gets none.
TEST_F(RequestLimitTest, fleetKeepsTheLimitThatAnUpstreamStates)
{
    constexpr double limit = 2;
    this->start(3, 3);
    this->upstreams[0]->setLimit(limit);
    this->upstreams[1]->setLimit(limit);
    const absl::Time stated = absl::Now();
    this->sendRequests(60, absl::Seconds(8));
    for (const std::size_t index : {0, 1}) {
        EXPECT_LE(mostWithinWindow(*this->upstreams[index], stated + noticeTime), allowed(limit));
        EXPECT_GE(receivedSince(*this->upstreams[index], absl::Now() - window), limit * absl::ToDoubleSeconds(window) / 2);
    }
    for (const auto &answer : this->answers) {
        EXPECT_EQ(this->wait(answer).head.status, 200);
    }
}

// Guards against batch items beyond the limit of an upstream.
TEST_F(RequestLimitTest, batchItemsKeepTheLimit)
{
    constexpr double limit = 2;
    constexpr int items = 60;
    this->start(2, 2);
    this->upstreams[0]->setLimit(limit);
    const absl::Time stated = absl::Now();
    EXPECT_EQ(this->submit(*this->hosts[0], "job-1", items), 202);
    EXPECT_EQ(this->submit(*this->hosts[1], "job-2", items / 2), 202);
    this->sendRequests(5, absl::Seconds(5));
    EXPECT_EQ(this->readWholeJob(*this->hosts[0], "job-1", items).size(), static_cast<std::size_t>(items));
    EXPECT_LE(mostWithinWindow(*this->upstreams[0], stated + noticeTime), allowed(limit));
}

// Guards against requests beyond the limits when all upstreams of a service have one, and against callers that wait for the refusal
// or are told to come back before an upstream may take their request.
TEST_F(RequestLimitTest, requestsBeyondAllLimitsAreRefusedAtOnce)
{
    constexpr double limit = 2;
    constexpr absl::Duration refusalTime = absl::Milliseconds(250);
    this->start(2, 2);
    this->upstreams[0]->setLimit(limit);
    this->upstreams[1]->setLimit(limit);
    const absl::Time stated = absl::Now();
    this->sendRequests(40, absl::Seconds(6));
    for (const auto &upstream : this->upstreams) {
        EXPECT_LE(mostWithinWindow(*upstream, stated + noticeTime), allowed(limit));
    }
    const absl::Time asked = absl::Now();
    double longest = 0;
    for (int number = 0; number < 20; ++number) {
        const Answer &answer = this->request(*this->hosts[0], "/resumable/x", absl::StrCat("late-", number));
        if (answer.head.status != 503) {
            continue;
        }
        double seconds = 0;
        ASSERT_TRUE(absl::SimpleAtod(std::string(answer.head.fields.find("retry-after").value_or("")), &seconds));
        EXPECT_GT(seconds, 0);
        longest = std::max(longest, seconds);
    }
    EXPECT_LE(absl::Now() - asked, 20 * refusalTime);
    // The two upstreams take 4 requests a second in all. Twenty callers can't all be served within half a second.
    EXPECT_GT(longest, 0.5);
}

// Guards against a limit that holds on after the upstream has stopped stating it.
TEST_F(RequestLimitTest, limitEndsWithItsStatement)
{
    this->start(3, 2);
    this->upstreams[0]->setLimit(2);
    this->sendRequests(40, absl::Seconds(3));
    this->upstreams[0]->setLimit(std::nullopt);
    this->sendRequests(40, absl::Seconds(3));
    const absl::Time from = absl::Now();
    this->sendRequests(40, absl::Seconds(2));
    EXPECT_GE(receivedSince(*this->upstreams[0], from), 20U);
}

// Guards against a limit that holds on for another start of the upstream under the same id.
TEST_F(RequestLimitTest, anotherStartHasNoLimit)
{
    this->start(2, 2);
    this->upstreams[0]->setLimit(1);
    this->sendRequests(40, absl::Seconds(2));
    this->upstreams[0]->setLimit(std::nullopt);
    this->registerUpstream(*this->upstreams[0], "model", "ready", 2);
    runFor(this->loop, absl::Seconds(1));
    const absl::Time from = absl::Now();
    this->sendRequests(40, absl::Seconds(2));
    EXPECT_GE(receivedSince(*this->upstreams[0], from), 20U);
}

// Guards against hosts that start and send the usual share until an answer tells them the limit, and against a former and a new holder
// of it that both send.
TEST_F(RequestLimitTest, restartsOfHostsKeepTheLimit)
{
    constexpr double limit = 3;
    this->start(4, 3);
    this->upstreams[0]->setLimit(limit);
    this->upstreams[1]->setLimit(limit);
    const absl::Time stated = absl::Now();
    this->sendRequests(60, absl::Seconds(2));
    for (const std::size_t index : {1, 3, 2}) {
        const std::string name = this->hosts[index]->host->currentSettings().name;
        this->crashHost(*this->hosts[index]);
        this->sendRequests(60, absl::Milliseconds(700));
        RunningHost &started = this->startHost(name);
        ASSERT_TRUE(runUntil(this->loop, [&started] { return started.host->ready(); }));
        std::swap(this->hosts[index], this->hosts.back());
        this->hosts.pop_back();
        this->sendRequests(60, absl::Milliseconds(1500));
    }
    this->sendRequests(60, absl::Seconds(4));
    for (const std::size_t index : {0, 1}) {
        EXPECT_LE(mostWithinWindow(*this->upstreams[index], stated + noticeTime), allowed(limit));
        EXPECT_GE(receivedSince(*this->upstreams[index], absl::Now() - window), limit);
    }
}

// Guards against a host that learns of a limit only from an answer of its own.
TEST_F(RequestLimitTest, otherHostsLearnOfTheLimit)
{
    this->start(3, 2);
    this->upstreams[0]->setLimit(0);
    for (int number = 0; number < 30 && this->upstreams[0]->received() == 0; ++number) {
        this->request(*this->hosts[0], "/resumable/x", absl::StrCat("first-", number));
    }
    runFor(this->loop, absl::Seconds(1));
    const std::size_t before = this->upstreams[0]->received();
    for (int number = 0; number < 20; ++number) {
        EXPECT_EQ(this->request(*this->hosts[1 + static_cast<std::size_t>(number % 2)], "/resumable/x", absl::StrCat("later-", number)).head.status, 200);
    }
    EXPECT_EQ(this->upstreams[0]->received(), before);
}

} // namespace

} // namespace Bergamotramp
