#include "LimitShares.h"

#include <algorithm>
#include <map>
#include <memory>
#include <set>

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "UpstreamRun.h"

namespace Bergamotramp {

namespace {

const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
// Hosts that have been running for long.
const absl::Time longAgo = start - absl::Hours(1);
constexpr absl::Duration window = absl::Seconds(4);

UpstreamInfo upstreamIn(const std::string &dataCentre, const std::string &id = "up", std::int64_t startedAtMs = 1)
{
    return {.id = id, .service = "model", .address = "127.0.0.1:1", .dataCentre = dataCentre, .slots = 8, .startedAtMs = startedAtMs};
}

LimitReport limitOf(const UpstreamInfo &upstream, double requestsPerSecond)
{
    return {.run = upstreamRunKey({.id = upstream.id, .startedAtMs = upstream.startedAtMs}), .requestsPerSecond = requestsPerSecond, .observed = start};
}

std::vector<LimitMember> hosts(int count)
{
    std::vector<LimitMember> result;
    for (int number = 0; number < count; ++number) {
        result.push_back({.name = absl::StrCat("host-", number), .dataCentre = absl::StrCat("dc-", number % 2), .region = "north"});
    }
    return result;
}

/** The sum of the rates that all members compute from the same view. */
double sumOfRates(double limit, const UpstreamInfo &upstream, const std::vector<LimitMember> &members, LimitShares::Scope scope = {})
{
    double sum = 0;
    for (const LimitMember &member : members) {
        LimitShares shares(member.name, longAgo);
        shares.update({limitOf(upstream, limit)}, {upstream}, members, scope, start);
        sum += shares.rate(upstream);
    }
    return sum;
}

// Guards against hosts that together exceed a limit, and against a limit of which nobody uses a part.
TEST(LimitSharesTest, sharesOfAllHostsAddUpToTheLimit)
{
    EXPECT_TRUE(rc::check("sum of shares", [] {
        const int count = *rc::gen::inRange(1, 40);
        const double limit = *rc::gen::inRange(1, 40'000) / 1000.0;
        const LimitShares::Scope scope{.sameDataCentre = *rc::gen::arbitrary<bool>()};
        const UpstreamInfo upstream = upstreamIn("dc-1", absl::StrCat("up-", *rc::gen::inRange(0, 1000)));
        const double sum = sumOfRates(limit, upstream, hosts(count), scope);
        RC_ASSERT(std::abs(sum - limit) < 1e-6);
    }));
}

// Guards against the two halves of a fleet that is cut in two, which would each use the whole limit.
TEST(LimitSharesTest, separatedHostsKeepTheLimitTogether)
{
    const UpstreamInfo upstream = upstreamIn("dc-0");
    constexpr double limit = 8;
    double sum = 0;
    for (int number = 0; number < 8; ++number) {
        std::vector<LimitMember> view = hosts(8);
        for (int other = 0; other < 8; ++other) {
            view[static_cast<std::size_t>(other)].live = (other < 3) == (number < 3);
        }
        LimitShares shares(absl::StrCat("host-", number), longAgo);
        shares.update({limitOf(upstream, limit)}, {upstream}, view, {}, start);
        sum += shares.rate(upstream);
    }
    EXPECT_NEAR(sum, limit, 1e-6);
}

// Guards against a host that sends requests to a limited upstream although other hosts hold its limit.
TEST(LimitSharesTest, hostThatHoldsNothingSendsNothing)
{
    const UpstreamInfo upstream = upstreamIn("dc-0");
    const std::vector<LimitMember> members = hosts(7);
    int senders = 0;
    for (const LimitMember &member : members) {
        LimitShares shares(member.name, longAgo);
        EXPECT_TRUE(shares.mayStart(upstream, LimitedClass::Online, start));
        shares.update({limitOf(upstream, 2)}, {upstream}, members, {}, start);
        EXPECT_FALSE(shares.mayStart(upstream, LimitedClass::Online, start));
        senders += shares.mayStart(upstream, LimitedClass::Online, start + absl::Seconds(10)) ? 1 : 0;
    }
    EXPECT_EQ(senders, 2);
}

// Guards against batch requests that take what online requests need.
TEST(LimitSharesTest, batchGetsWhatOnlineLeaves)
{
    const UpstreamInfo upstream = upstreamIn("dc-0");
    LimitShares shares("host-0", longAgo);
    shares.update({limitOf(upstream, 1)}, {upstream}, hosts(1), {}, start);
    EXPECT_TRUE(shares.mayStart(upstream, LimitedClass::Online, start + absl::Milliseconds(1100)));
    EXPECT_FALSE(shares.mayStart(upstream, LimitedClass::Batch, start + absl::Milliseconds(1100)));
    EXPECT_TRUE(shares.mayStart(upstream, LimitedClass::Batch, start + absl::Milliseconds(1600)));
}

// Guards against a limit that holds on for another start of the upstream under the same id.
TEST(LimitSharesTest, anotherStartHasNoLimit)
{
    const UpstreamInfo former = upstreamIn("dc-0", "up", 1);
    const UpstreamInfo restarted = upstreamIn("dc-0", "up", 2);
    LimitShares shares("host-0", longAgo);
    shares.update({limitOf(former, 1)}, {former}, hosts(1), {}, start);
    EXPECT_FALSE(shares.mayStart(former, LimitedClass::Online, start));
    shares.update({limitOf(former, 1)}, {restarted}, hosts(1), {}, start);
    EXPECT_TRUE(shares.mayStart(restarted, LimitedClass::Online, start));
}

// Guards against an upstream that refuses all requests with a limit of 0 but gets some.
TEST(LimitSharesTest, limitOfZeroStopsAllRequests)
{
    const UpstreamInfo upstream = upstreamIn("dc-0");
    LimitShares shares("host-0", longAgo);
    shares.update({limitOf(upstream, 0)}, {upstream}, hosts(1), {}, start);
    EXPECT_FALSE(shares.mayStart(upstream, LimitedClass::Online, start + absl::Hours(1)));
}

/** Hosts that come, go and learn of one another with a delay, all of which send to one limited upstream whenever they may. */
class ChangingFleet
{
public:
    ChangingFleet(int hostCount, double limit, const std::vector<int> &viewDelaysMs) : limit(limit), viewDelaysMs(viewDelaysMs)
    {
        for (int number = 0; number < hostCount; ++number) {
            this->up.insert(number);
            this->processes.emplace(number, std::make_unique<LimitShares>(nameOf(number), longAgo));
        }
        this->history.emplace_back(start - absl::Hours(1), this->up);
    }

    void change(int host)
    {
        if (this->up.erase(host) > 0) {
            this->processes.erase(host);
        } else {
            this->up.insert(host);
            this->processes.emplace(host, std::make_unique<LimitShares>(nameOf(host), this->now));
        }
        this->history.emplace_back(this->now, this->up);
    }

    void run(absl::Duration duration)
    {
        const absl::Time end = this->now + duration;
        for (; this->now < end; this->now += absl::Milliseconds(20)) {
            for (auto &[host, shares] : this->processes) {
                shares->update({limitOf(this->upstream, this->limit)}, {this->upstream}, this->viewOf(host), {}, this->now);
                if (shares->mayStart(this->upstream, LimitedClass::Online, this->now)) {
                    shares->recordStart(this->upstream, this->now);
                    this->starts.push_back(this->now);
                }
            }
        }
    }

    [[nodiscard]] std::size_t mostWithinWindow() const
    {
        std::size_t most = 0;
        for (auto first = this->starts.begin(); first != this->starts.end(); ++first) {
            most = std::max(most, static_cast<std::size_t>(std::upper_bound(first, this->starts.end(), *first + window) - first));
        }
        return most;
    }

private:
    static std::string nameOf(int host)
    {
        return absl::StrCat("host-", host);
    }

    /** What a host knows: the fleet as it was some time ago. It has forgotten the hosts that are down, as in the worst case. */
    [[nodiscard]] std::vector<LimitMember> viewOf(int host) const
    {
        const absl::Time seen = this->now - absl::Milliseconds(this->viewDelaysMs[static_cast<std::size_t>(host) % this->viewDelaysMs.size()]);
        std::set<int> known{host};
        for (const auto &[at, hosts] : this->history) {
            if (at <= seen) {
                known = hosts;
                known.insert(host);
            }
        }
        std::vector<LimitMember> result;
        for (const int each : known) {
            result.push_back({.name = nameOf(each), .dataCentre = "dc-0", .region = "north"});
        }
        return result;
    }

    UpstreamInfo upstream = upstreamIn("dc-0");
    double limit;
    std::vector<int> viewDelaysMs;
    absl::Time now = start;
    std::set<int> up;
    std::map<int, std::unique_ptr<LimitShares>> processes;
    std::vector<std::pair<absl::Time, std::set<int>>> history;
    std::vector<absl::Time> starts;
};

// Guards against a former and a new holder that both send while hosts come and go and learn of it at different times.
TEST(LimitSharesTest, changingFleetKeepsTheLimit)
{
    EXPECT_TRUE(rc::check("changing fleet", [] {
        const int hostCount = *rc::gen::inRange(2, 8);
        const double limit = *rc::gen::inRange(500, 6000) / 1000.0;
        const auto delays = *rc::gen::container<std::vector<int>>(static_cast<std::size_t>(hostCount), rc::gen::inRange(0, 1600));
        const auto changes = *rc::gen::container<std::vector<int>>(5, rc::gen::inRange(0, hostCount));
        ChangingFleet fleet(hostCount, limit, delays);
        fleet.run(absl::Seconds(3));
        for (const int host : changes) {
            fleet.change(host);
            fleet.run(absl::Milliseconds(*rc::gen::inRange(100, 4000)));
        }
        RC_ASSERT(static_cast<double>(fleet.mostWithinWindow()) <= 1.5 * limit * absl::ToDoubleSeconds(window) + 5);
    }));
}

} // namespace

} // namespace Bergamotramp
