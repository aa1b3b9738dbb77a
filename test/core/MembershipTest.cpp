#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "MembershipCluster.h"

namespace Bergamotramp {

namespace {

constexpr int joinPeriods = 200;
constexpr int convergencePeriods = 600;

MembershipCluster randomCluster(double maxLoss)
{
    const auto size = *rc::gen::inRange<std::size_t>(3, 11);
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const NetworkFaults faults{maxLoss * *rc::gen::inRange(0, 11) / 10, 0.1 * *rc::gen::inRange(0, 4), absl::Milliseconds(*rc::gen::inRange(1, 60))};
    return {size, seed, faults};
}

std::string randomHost(const MembershipCluster &cluster)
{
    return *rc::gen::elementOf(cluster.running());
}

// Guards against members that stay dead after a network partition has healed, and against a newer claim about a member that is
// overridden by an older one in the meantime.
TEST(MembershipTest, partitionHeals)
{
    EXPECT_TRUE(rc::check([] {
        MembershipCluster cluster = randomCluster(0.05);
        RC_ASSERT(cluster.runUntil([&] { return cluster.allSeeAllAlive(); }, joinPeriods));
        for (const std::string &name : cluster.running()) {
            cluster.setPartition(name, *rc::gen::inRange(0, 3));
        }
        cluster.run(absl::Seconds(*rc::gen::inRange(1, 60)));
        for (const std::string &name : cluster.running()) {
            cluster.setPartition(name, 0);
        }
        RC_ASSERT(cluster.runUntil([&] { return cluster.allSeeAllAlive(); }, convergencePeriods));
        RC_ASSERT(cluster.violations == std::vector<std::string>());
    }));
}

// Guards against a crashed host that keeps its pools and slots because a peer never declares it dead.
TEST(MembershipTest, deadHostIsRemovedEverywhereAndReturnsAfterRestart)
{
    EXPECT_TRUE(rc::check([] {
        MembershipCluster cluster = randomCluster(0.1);
        RC_ASSERT(cluster.runUntil([&] { return cluster.allSeeAllAlive(); }, joinPeriods));
        const std::string crashed = randomHost(cluster);
        cluster.crash(crashed);
        RC_ASSERT(cluster.runUntil([&] { return cluster.allSee(crashed, wire::MEMBER_STATE_DEAD); }, convergencePeriods));
        cluster.restart(crashed);
        RC_ASSERT(cluster.runUntil([&] { return cluster.allSeeAllAlive(); }, convergencePeriods));
        RC_ASSERT(cluster.violations == std::vector<std::string>());
    }));
}

// Guards against work that is sent to a host after it has announced its shutdown, because stale updates make it alive again.
TEST(MembershipTest, leavingHostIsNeverAliveAgainInTheSameIncarnation)
{
    EXPECT_TRUE(rc::check([] {
        MembershipCluster cluster = randomCluster(0.1);
        RC_ASSERT(cluster.runUntil([&] { return cluster.allSeeAllAlive(); }, joinPeriods));
        const std::string leavingHost = randomHost(cluster);
        cluster.leave(leavingHost);
        RC_ASSERT(cluster.runUntil([&] { return cluster.allSee(leavingHost, wire::MEMBER_STATE_LEAVING); }, convergencePeriods));
        cluster.add("host-late");
        cluster.run(absl::Seconds(20));
        RC_ASSERT(cluster.runUntil([&] { return cluster.allSee(leavingHost, wire::MEMBER_STATE_LEAVING); }, convergencePeriods));
        cluster.crash(leavingHost);
        RC_ASSERT(cluster.runUntil([&] { return cluster.allSee(leavingHost, wire::MEMBER_STATE_DEAD); }, convergencePeriods));
        RC_ASSERT(cluster.violations == std::vector<std::string>());
    }));
}

// Guards against a host that declares all others dead after a pause, because it received no acks while it was paused.
TEST(MembershipTest, pausedHostDeclaresNobodyDead)
{
    EXPECT_TRUE(rc::check([] {
        MembershipCluster cluster = randomCluster(0);
        RC_ASSERT(cluster.runUntil([&] { return cluster.allSeeAllAlive(); }, joinPeriods));
        const std::string pausedHost = randomHost(cluster);
        cluster.declaredDead.clear();
        cluster.setPaused(pausedHost, true);
        cluster.run(absl::Seconds(*rc::gen::inRange(1, 120)));
        cluster.setPaused(pausedHost, false);
        RC_ASSERT(cluster.runUntil([&] { return cluster.allSeeAllAlive(); }, convergencePeriods));
        RC_ASSERT(cluster.declaredDead[pausedHost] == std::set<std::string>());
        RC_ASSERT(cluster.violations == std::vector<std::string>());
    }));
}

// Guards against an open connection that no longer carries messages and is never replaced.
TEST(MembershipTest, silentConnectionIsReplacedAndRemovesNobody)
{
    EXPECT_TRUE(rc::check([] {
        MembershipCluster cluster = randomCluster(0);
        // With fewer than two helpers for indirect probes, a host can't tell a blocked connection from a crashed host.
        RC_PRE(cluster.running().size() >= 4);
        RC_ASSERT(cluster.runUntil([&] { return cluster.allSeeAllAlive(); }, joinPeriods));
        cluster.declaredDead.clear();
        const std::string from = randomHost(cluster);
        const std::string to = randomHost(cluster);
        RC_PRE(from != to);
        cluster.blockConnection(from, to);
        RC_ASSERT(cluster.runUntil([&] { return !cluster.hasBlockedConnections(); }, convergencePeriods));
        cluster.run(absl::Seconds(30));
        RC_ASSERT(cluster.declaredDead.empty());
    }));
}

// Guards against timeouts so short that running hosts are declared dead because of ordinary packet loss.
TEST(MembershipTest, lossAloneRemovesNobody)
{
    MembershipCluster cluster(16, 11, NetworkFaults{0.05, 0.02, absl::Milliseconds(30)});
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.allSeeAllAlive(); }, joinPeriods));
    cluster.run(absl::Minutes(10));
    EXPECT_TRUE(cluster.declaredDead.empty());
}

/** Messages and bytes sent per host and period. */
struct HostLoad {
    double messages;
    double bytes;
};

HostLoad measureSteadyLoad(std::size_t size)
{
    MembershipCluster cluster(size, 7, NetworkFaults());
    EXPECT_TRUE(cluster.runUntil([&] { return cluster.allSeeAllAlive(); }, convergencePeriods));
    // Within one round of probes every host has its own entry acknowledged by all others, and then no longer sends it with each ping.
    cluster.run(MembershipSettings().period * 1.5 * static_cast<double>(size));
    cluster.messages = 0;
    cluster.bytes = 0;
    constexpr int periods = 50;
    cluster.run(MembershipSettings().period * periods);
    EXPECT_LE(cluster.maxUpdates, 8);
    const double hostPeriods = static_cast<double>(size) * periods;
    return {static_cast<double>(cluster.messages) / hostPeriods, static_cast<double>(cluster.bytes) / hostPeriods};
}

// Guards against membership traffic per host that grows with the number of hosts.
TEST(MembershipTest, loadPerHostDoesNotGrowWithTheCluster)
{
    const HostLoad small = measureSteadyLoad(8);
    for (const std::size_t size : {32U, 128U}) {
        const HostLoad large = measureSteadyLoad(size);
        EXPECT_LE(large.messages, small.messages * 1.1) << size;
        EXPECT_LE(large.bytes, small.bytes * 1.1 + 32) << size;
    }
    EXPECT_LE(small.messages, 2.2);
}

// Guards against an outdated host list that marks a running host as leaving or brings back a removed one.
TEST(MembershipTest, hostListOnlyAddsCandidatesAndLeaveNotices)
{
    const absl::Time now = absl::FromUnixSeconds(1000);
    const HostInfo peer{"b", 5, "nordeste", "recife-a", "b:1", "b:2", "b:3"};
    Membership membership({"a", 9, "nordeste", "recife-a", "a:1", "a:2", "a:3"}, {}, std::mt19937_64(1), now);
    membership.receiveHostList({{peer, true}}, now);
    EXPECT_FALSE(membership.claim("b").has_value());
    wire::Ping ping;
    ping.set_sequence(1);
    *ping.add_updates() = toUpdate(peer, wire::MEMBER_STATE_ALIVE);
    membership.receivePing("b", ping, now);
    membership.receiveHostList({{peer, true}}, now);
    EXPECT_EQ(membership.claim("b"), (MemberClaim{5, wire::MEMBER_STATE_ALIVE}));
    membership.receiveHostList({}, now);
    membership.receiveHostList({{peer, false}}, now);
    EXPECT_EQ(membership.claim("b"), (MemberClaim{5, wire::MEMBER_STATE_ALIVE}));
    membership.receiveHostList({{peer, true}}, now);
    EXPECT_EQ(membership.claim("b"), (MemberClaim{5, wire::MEMBER_STATE_LEAVING}));
}

} // namespace

} // namespace Bergamotramp
