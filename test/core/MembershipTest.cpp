#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "MembershipCluster.h"

namespace Bergamotramp {

namespace {

constexpr int joinPeriods = 200;
constexpr int convergencePeriods = 600;

MembershipCluster drawCluster(double maxLoss)
{
    const auto size = *rc::gen::inRange<std::size_t>(3, 11);
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const NetworkFaults faults{maxLoss * *rc::gen::inRange(0, 11) / 10, 0.1 * *rc::gen::inRange(0, 4), absl::Milliseconds(*rc::gen::inRange(1, 60))};
    return {size, seed, faults};
}

std::string drawHost(const MembershipCluster &cluster)
{
    return *rc::gen::elementOf(cluster.running());
}

// Guards against members that stay removed after a partition heals, and against claims that run backwards meanwhile.
TEST(MembershipTest, partitionHeals)
{
    EXPECT_TRUE(rc::check([] {
        MembershipCluster cluster = drawCluster(0.05);
        RC_ASSERT(cluster.runUntil([&] { return cluster.allSeeAllAlive(); }, joinPeriods));
        for (const std::string &name : cluster.running()) {
            cluster.setSide(name, *rc::gen::inRange(0, 3));
        }
        cluster.run(absl::Seconds(*rc::gen::inRange(1, 60)));
        for (const std::string &name : cluster.running()) {
            cluster.setSide(name, 0);
        }
        RC_ASSERT(cluster.runUntil([&] { return cluster.allSeeAllAlive(); }, convergencePeriods));
        RC_ASSERT(cluster.violations == std::vector<std::string>());
    }));
}

// Guards against a lost host that keeps its pools and slots because some peer never removes it.
TEST(MembershipTest, deadHostIsRemovedEverywhereAndReturnsAfterRestart)
{
    EXPECT_TRUE(rc::check([] {
        MembershipCluster cluster = drawCluster(0.1);
        RC_ASSERT(cluster.runUntil([&] { return cluster.allSeeAllAlive(); }, joinPeriods));
        const std::string victim = drawHost(cluster);
        cluster.crash(victim);
        RC_ASSERT(cluster.runUntil([&] { return cluster.allSee(victim, wire::MEMBER_STATE_DEAD); }, convergencePeriods));
        cluster.restart(victim);
        RC_ASSERT(cluster.runUntil([&] { return cluster.allSeeAllAlive(); }, convergencePeriods));
        RC_ASSERT(cluster.violations == std::vector<std::string>());
    }));
}

// Guards against work sent to a host that has announced its shutdown.
TEST(MembershipTest, leavingHostIsNeverAliveAgainInTheSameIncarnation)
{
    EXPECT_TRUE(rc::check([] {
        MembershipCluster cluster = drawCluster(0.1);
        RC_ASSERT(cluster.runUntil([&] { return cluster.allSeeAllAlive(); }, joinPeriods));
        const std::string leaver = drawHost(cluster);
        cluster.leave(leaver);
        RC_ASSERT(cluster.runUntil([&] { return cluster.allSee(leaver, wire::MEMBER_STATE_LEAVING); }, convergencePeriods));
        cluster.add("host-late");
        cluster.run(absl::Seconds(20));
        RC_ASSERT(cluster.runUntil([&] { return cluster.allSee(leaver, wire::MEMBER_STATE_LEAVING); }, convergencePeriods));
        cluster.crash(leaver);
        RC_ASSERT(cluster.runUntil([&] { return cluster.allSee(leaver, wire::MEMBER_STATE_DEAD); }, convergencePeriods));
        RC_ASSERT(cluster.violations == std::vector<std::string>());
    }));
}

// Guards against a host that wakes from a pause and takes the silence for the death of everybody else.
TEST(MembershipTest, pausedHostDeclaresNobodyDead)
{
    EXPECT_TRUE(rc::check([] {
        MembershipCluster cluster = drawCluster(0);
        RC_ASSERT(cluster.runUntil([&] { return cluster.allSeeAllAlive(); }, joinPeriods));
        const std::string sleeper = drawHost(cluster);
        cluster.declaredDead.clear();
        cluster.setPaused(sleeper, true);
        cluster.run(absl::Seconds(*rc::gen::inRange(1, 120)));
        cluster.setPaused(sleeper, false);
        RC_ASSERT(cluster.runUntil([&] { return cluster.allSeeAllAlive(); }, convergencePeriods));
        RC_ASSERT(cluster.declaredDead[sleeper] == std::set<std::string>());
        RC_ASSERT(cluster.violations == std::vector<std::string>());
    }));
}

// Guards against an open connection that carries nothing any more and is used for ever.
TEST(MembershipTest, silentConnectionIsReplacedAndRemovesNobody)
{
    EXPECT_TRUE(rc::check([] {
        MembershipCluster cluster = drawCluster(0);
        // Without at least two helpers of its own a host can't tell a silent connection from a lost host.
        RC_PRE(cluster.running().size() >= 4);
        RC_ASSERT(cluster.runUntil([&] { return cluster.allSeeAllAlive(); }, joinPeriods));
        cluster.declaredDead.clear();
        const std::string from = drawHost(cluster);
        const std::string to = drawHost(cluster);
        RC_PRE(from != to);
        cluster.silence(from, to);
        RC_ASSERT(cluster.runUntil([&] { return !cluster.hasSilentConnections(); }, convergencePeriods));
        cluster.run(absl::Seconds(30));
        RC_ASSERT(cluster.declaredDead.empty());
    }));
}

// Guards against timings so tight that ordinary packet loss removes working hosts.
TEST(MembershipTest, lossAloneRemovesNobody)
{
    MembershipCluster cluster(16, 11, NetworkFaults{0.05, 0.02, absl::Milliseconds(30)});
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.allSeeAllAlive(); }, joinPeriods));
    cluster.run(absl::Minutes(10));
    EXPECT_TRUE(cluster.declaredDead.empty());
}

struct Load {
    double messages;
    double bytes;
};

Load steadyLoad(std::size_t size)
{
    MembershipCluster cluster(size, 7, NetworkFaults());
    EXPECT_TRUE(cluster.runUntil([&] { return cluster.allSeeAllAlive(); }, convergencePeriods));
    // Every host confirms its own entry to every other within one round of probes.
    cluster.run(MembershipSettings().period * 1.5 * static_cast<double>(size));
    cluster.messages = 0;
    cluster.bytes = 0;
    constexpr int periods = 50;
    cluster.run(MembershipSettings().period * periods);
    EXPECT_LE(cluster.maxUpdates, 8);
    const double hostPeriods = static_cast<double>(size) * periods;
    return {static_cast<double>(cluster.messages) / hostPeriods, static_cast<double>(cluster.bytes) / hostPeriods};
}

// Guards against control traffic that grows with the number of hosts.
TEST(MembershipTest, loadPerHostDoesNotGrowWithTheCluster)
{
    const Load small = steadyLoad(8);
    for (const std::size_t size : {32U, 128U}) {
        const Load large = steadyLoad(size);
        EXPECT_LE(large.messages, small.messages * 1.1) << size;
        EXPECT_LE(large.bytes, small.bytes * 1.1 + 32) << size;
    }
    EXPECT_LE(small.messages, 2.2);
}

// Guards against a stale host list that takes a working host out of service or brings back a removed one.
TEST(MembershipTest, hostListOnlyAddsCandidatesAndLeaveNotices)
{
    const absl::Time now = absl::FromUnixSeconds(1000);
    const HostInfo peer{"b", 5, "nordeste", "recife-a", "b:1", "b:2", "b:3"};
    Membership membership({"a", 9, "nordeste", "recife-a", "a:1", "a:2", "a:3"}, {}, std::mt19937_64(1), now);
    membership.hostList({{peer, true}}, now);
    EXPECT_FALSE(membership.claim("b").has_value());
    wire::Ping ping;
    ping.set_sequence(1);
    *ping.add_updates() = toUpdate(peer, wire::MEMBER_STATE_ALIVE);
    membership.ping("b", ping, now);
    membership.hostList({{peer, true}}, now);
    EXPECT_EQ(membership.claim("b"), (MemberClaim{5, wire::MEMBER_STATE_ALIVE}));
    membership.hostList({}, now);
    membership.hostList({{peer, false}}, now);
    EXPECT_EQ(membership.claim("b"), (MemberClaim{5, wire::MEMBER_STATE_ALIVE}));
    membership.hostList({{peer, true}}, now);
    EXPECT_EQ(membership.claim("b"), (MemberClaim{5, wire::MEMBER_STATE_LEAVING}));
}

} // namespace

} // namespace Bergamotramp
