#include "PeerBoard.h"

#include <gtest/gtest.h>

namespace Bergamotramp {

namespace {

const absl::Time start = absl::FromUnixSeconds(1'000'000);

Peer peer(const std::string &name, std::uint64_t incarnation, std::uint32_t sequence)
{
    Peer result;
    result.name = name;
    result.incarnation = incarnation;
    result.sequence = sequence;
    result.lastHeard = start;
    return result;
}

// Guards against datagrams that overtake each other, and against those of an earlier process.
TEST(PeerBoardTest, olderAnnouncementsAreIgnored)
{
    PeerBoard board;
    EXPECT_TRUE(board.update(peer("one", 5, 7)));
    EXPECT_FALSE(board.update(peer("one", 5, 7)));
    EXPECT_FALSE(board.update(peer("one", 4, 90)));
    EXPECT_TRUE(board.update(peer("one", 6, 1)));
}

// Guards against addresses of hosts that are silent or about to stop.
TEST(PeerBoardTest, silentAndLeavingHostsAreNotLive)
{
    PeerBoard board;
    Peer leaving = peer("leaving", 1, 1);
    leaving.leaving = true;
    board.update(leaving);
    board.update(peer("silent", 1, 1));
    EXPECT_FALSE(board.live("leaving", start));
    EXPECT_TRUE(board.live("silent", start + PeerBoard::silenceLimit));
    EXPECT_FALSE(board.live("silent", start + PeerBoard::silenceLimit + absl::Milliseconds(1)));
    EXPECT_FALSE(board.live("unknown", start));
    board.forgetSilent(start + PeerBoard::forgetAfter + absl::Milliseconds(1));
    EXPECT_EQ(board.find("silent"), nullptr);
}

// Guards against callers that are left with the only host of their data centre when it restarts.
TEST(PeerBoardTest, callersGetNearHostsButNeverASingleOne)
{
    const std::vector<EntryPoint> entries{{"a1", "north", "a"}, {"a2", "north", "a"}, {"b1", "north", "b"}, {"c1", "south", "c"}};
    EXPECT_EQ(entryAddresses(entries, "north", "a"), (std::vector<std::string>{"a1", "a2"}));
    EXPECT_EQ(entryAddresses(entries, "north", "b"), (std::vector<std::string>{"a1", "a2", "b1"}));
    EXPECT_EQ(entryAddresses(entries, "south", "c").size(), 4U);
    EXPECT_TRUE(entryAddresses({}, "south", "c").empty());
}

// Guards against a host that wakes up, takes all others for dead and takes over their jobs.
TEST(PeerBoardTest, ownStandstillIsNotHeldAgainstOthers)
{
    const absl::Time asleep = absl::UnixEpoch() + absl::Hours(1);
    const absl::Duration standstill = absl::Seconds(4);
    PeerBoard board;
    Peer peer;
    peer.name = "host-1";
    peer.incarnation = 1;
    peer.lastHeard = asleep;
    board.update(peer);
    EXPECT_FALSE(board.live("host-1", asleep + standstill));
    board.excuse(standstill);
    EXPECT_TRUE(board.live("host-1", asleep + standstill));
    EXPECT_FALSE(board.live("host-1", asleep + standstill + PeerBoard::silenceLimit + absl::Milliseconds(1)));
}

} // namespace

} // namespace Bergamotramp
