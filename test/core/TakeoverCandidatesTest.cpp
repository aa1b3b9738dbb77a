#include "TakeoverCandidates.h"

#include <algorithm>
#include <set>

#include <gtest/gtest.h>

namespace Bergamotramp {

namespace {

const absl::Time start = absl::FromUnixSeconds(1'000'000);
// Within this time the hosts notice a loss, which takes up to defaultLivenessTimeout, and act on it.
constexpr absl::Duration contactTime = absl::Seconds(4);
const absl::Time longAgo = start - absl::Minutes(1);

/** The peers of "self" in data centre "a": hosts "a-0", "b-0" and so on. */
PeerTable fleet(int hostsOfEachDataCentre)
{
    PeerTable peers;
    for (const std::string dataCentre : {"a", "b"}) {
        for (int number = 0; number < hostsOfEachDataCentre; ++number) {
            Peer peer;
            peer.name = dataCentre + "-" + std::to_string(number);
            peer.dataCentre = dataCentre;
            peer.incarnation = 1;
            peer.sequence = 1;
            peer.lastHeard = start;
            peers.update(peer);
        }
    }
    return peers;
}

void lose(PeerTable &peers, const std::string &name)
{
    Peer peer = *peers.find(name);
    ++peer.sequence;
    peer.lastHeard = longAgo;
    peers.update(peer);
}

// Guards against a job that moves from host to host during rolling stops, because its next runner is always a host of the data centre
// that is being stopped. Each move discards the output of running items.
TEST(TakeoverCandidatesTest, smallFleetOffersAllLiveHosts)
{
    PeerTable peers = fleet(3);
    lose(peers, "a-0");
    EXPECT_EQ(takeoverCandidates(peers, "self", "a", "a-0", start), (std::vector<std::string>{"self", "a-1", "a-2", "b-0", "b-1", "b-2"}));
}

// Guards against a job that waits until hosts of other data centres notice the loss of its runner, which takes seconds in a large fleet.
TEST(TakeoverCandidatesTest, largeFleetOffersTheDataCentreOfTheRunner)
{
    PeerTable peers = fleet(8);
    lose(peers, "b-0");
    const std::vector<std::string> candidates = takeoverCandidates(peers, "self", "a", "b-0", start);
    EXPECT_EQ(candidates.size(), 7U);
    EXPECT_TRUE(std::ranges::all_of(candidates, [](const std::string &name) { return name.starts_with("b-"); }));
    lose(peers, "a-0");
    EXPECT_EQ(takeoverCandidates(peers, "self", "a", "a-0", start).front(), "self");
}

// Guards against a job that nobody runs because its data centre is lost, or because this host does not know its runner.
TEST(TakeoverCandidatesTest, lostDataCentreAndUnknownRunnerLeaveAllLiveHosts)
{
    PeerTable peers = fleet(8);
    for (int number = 0; number < 8; ++number) {
        lose(peers, "b-" + std::to_string(number));
    }
    EXPECT_EQ(takeoverCandidates(peers, "self", "a", "b-0", start).size(), 9U);
    EXPECT_EQ(takeoverCandidates(peers, "self", "a", "unknown", start).size(), 9U);
}

// Guards against a job that nobody runs, because a host that has never known the lost runner and the other hosts each wait for one another.
TEST(TakeoverCandidatesTest, hostsThatRememberDifferentHostsTakeEachJobOverSoon)
{
    constexpr int hostsOfEachDataCentre = 7;
    for (int job = 0; job < 200; ++job) {
        absl::Duration shortestWait = absl::InfiniteDuration();
        for (const std::string dataCentre : {"a", "b"}) {
            for (int number = 1; number < hostsOfEachDataCentre; ++number) {
                PeerTable peers = fleet(hostsOfEachDataCentre);
                lose(peers, "b-0");
                const std::string self = dataCentre + "-" + std::to_string(number);
                // "b-1" has just started and has never heard of the lost host.
                const std::string runner = self == "b-1" ? "never-heard-of" : "b-0";
                shortestWait = std::min(shortestWait, takeoverWait(takeoverRank(peers, "job" + std::to_string(job), self, dataCentre, runner, start)));
            }
        }
        EXPECT_LE(shortestWait, contactTime - defaultLivenessTimeout) << job;
    }
}

// Guards against far hosts of a large fleet that wait for minutes when all hosts that come before them fail to take a job over. Jobs may
// be due 18 s after their submission.
TEST(TakeoverCandidatesTest, waitOfTheLastHostOfALargeFleetIsBounded)
{
    EXPECT_EQ(takeoverWait(0), absl::ZeroDuration());
    EXPECT_LT(takeoverWait(1), takeoverWait(2));
    EXPECT_LE(takeoverWait(399), absl::Seconds(18));
}

// Guards against hosts with the same knowledge that take a job over at the same time, and against far hosts that do before near ones.
TEST(TakeoverCandidatesTest, hostsWithTheSameKnowledgeHavePositionsOfTheirOwn)
{
    PeerTable peers = fleet(8);
    lose(peers, "b-0");
    std::set<std::size_t> ranks;
    for (const auto &[name, peer] : peers.all()) {
        if (name == "b-0") {
            continue;
        }
        const std::size_t rank = takeoverRank(peers, "job", name, peer.dataCentre, "b-0", start);
        EXPECT_TRUE(ranks.insert(rank).second) << name;
        EXPECT_EQ(rank < 7, peer.dataCentre == "b") << name << ": seven hosts of data centre b are live";
    }
}

} // namespace

} // namespace Bergamotramp
