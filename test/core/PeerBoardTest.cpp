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

// Guards against old data that replaces newer data, when datagrams arrive out of order or come from an earlier run of the host.
TEST(PeerBoardTest, olderAnnouncementsAreIgnored)
{
    PeerBoard board;
    EXPECT_TRUE(board.update(peer("one", 5, 7)));
    EXPECT_FALSE(board.update(peer("one", 5, 7)));
    EXPECT_FALSE(board.update(peer("one", 4, 90)));
    EXPECT_TRUE(board.update(peer("one", 6, 1)));
}

// Guards against hosts that count as live although they no longer announce themselves or are about to stop.
TEST(PeerBoardTest, silentAndLeavingHostsAreNotLive)
{
    PeerBoard board;
    Peer leaving = peer("leaving", 1, 1);
    leaving.leaving = true;
    board.update(leaving);
    board.update(peer("silent", 1, 1));
    EXPECT_FALSE(board.live("leaving", start));
    EXPECT_TRUE(board.live("silent", start + PeerBoard::livenessTimeout));
    EXPECT_FALSE(board.live("silent", start + PeerBoard::livenessTimeout + absl::Milliseconds(1)));
    EXPECT_FALSE(board.live("unknown", start));
    board.forgetSilent(start + PeerBoard::silentPeerRetention + absl::Milliseconds(1));
    EXPECT_EQ(board.find("silent"), nullptr);
}

// Guards against callers that know only one host and have no other to use while it restarts.
TEST(PeerBoardTest, callersGetNearbyHostsButNeverASingleOne)
{
    const std::vector<EntryPoint> entries{{"a1", "north", "a"}, {"a2", "north", "a"}, {"b1", "north", "b"}, {"c1", "south", "c"}};
    EXPECT_EQ(entryAddresses(entries, "north", "a"), (std::vector<std::string>{"a1", "a2"}));
    EXPECT_EQ(entryAddresses(entries, "north", "b"), (std::vector<std::string>{"a1", "a2", "b1"}));
    EXPECT_EQ(entryAddresses(entries, "south", "c").size(), 4U);
    EXPECT_TRUE(entryAddresses({}, "south", "c").empty());
}

// Guards against a host that considers all others dead after a pause of its own process, and takes over their jobs.
TEST(PeerBoardTest, ownPauseDoesNotExpirePeers)
{
    const absl::Time pauseStart = absl::UnixEpoch() + absl::Hours(1);
    const absl::Duration pause = absl::Seconds(4);
    PeerBoard board;
    Peer peer;
    peer.name = "host-1";
    peer.incarnation = 1;
    peer.lastHeard = pauseStart;
    board.update(peer);
    EXPECT_FALSE(board.live("host-1", pauseStart + pause));
    board.excuse(pause);
    EXPECT_TRUE(board.live("host-1", pauseStart + pause));
    EXPECT_FALSE(board.live("host-1", pauseStart + pause + PeerBoard::livenessTimeout + absl::Milliseconds(1)));
}

} // namespace

} // namespace Bergamotramp
