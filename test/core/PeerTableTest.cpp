#include "PeerTable.h"

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
TEST(PeerTableTest, olderAnnouncementsAreIgnored)
{
    PeerTable table;
    EXPECT_TRUE(table.update(peer("one", 5, 7)));
    EXPECT_FALSE(table.update(peer("one", 5, 7)));
    EXPECT_FALSE(table.update(peer("one", 4, 90)));
    EXPECT_TRUE(table.update(peer("one", 6, 1)));
}

// Guards against hosts that count as live although they no longer announce themselves or are about to stop.
TEST(PeerTableTest, silentAndLeavingHostsAreNotLive)
{
    PeerTable table;
    Peer leaving = peer("leaving", 1, 1);
    leaving.leaving = true;
    table.update(leaving);
    table.update(peer("silent", 1, 1));
    EXPECT_FALSE(table.isLive("leaving", start));
    EXPECT_TRUE(table.isLive("silent", start + defaultLivenessTimeout));
    EXPECT_FALSE(table.isLive("silent", start + defaultLivenessTimeout + absl::Milliseconds(1)));
    EXPECT_FALSE(table.isLive("unknown", start));
    table.evictSilent(start + PeerTable::silentPeerRetention + absl::Milliseconds(1));
    EXPECT_EQ(table.find("silent"), nullptr);
}

// Guards against callers that know only one host and have no other to use while it restarts.
TEST(PeerTableTest, callersGetNearbyHostsButNeverASingleOne)
{
    const std::vector<EntryEndpoint> entries{{"a1", "north", "a"}, {"a2", "north", "a"}, {"b1", "north", "b"}, {"c1", "south", "c"}};
    EXPECT_EQ(selectEntryAddresses(entries, "north", "a"), (std::vector<std::string>{"a1", "a2"}));
    EXPECT_EQ(selectEntryAddresses(entries, "north", "b"), (std::vector<std::string>{"a1", "a2", "b1"}));
    EXPECT_EQ(selectEntryAddresses(entries, "south", "c").size(), 4U);
    EXPECT_TRUE(selectEntryAddresses({}, "south", "c").empty());
}

// Guards against a host that considers all others dead after a pause of its own process, and takes over their jobs.
TEST(PeerTableTest, ownPauseDoesNotExpirePeers)
{
    const absl::Time pauseStart = absl::UnixEpoch() + absl::Hours(1);
    const absl::Duration pause = absl::Seconds(4);
    PeerTable table;
    Peer peer;
    peer.name = "host-1";
    peer.incarnation = 1;
    peer.lastHeard = pauseStart;
    table.update(peer);
    EXPECT_FALSE(table.isLive("host-1", pauseStart + pause));
    table.postponeTimeouts(pause);
    EXPECT_TRUE(table.isLive("host-1", pauseStart + pause));
    EXPECT_FALSE(table.isLive("host-1", pauseStart + pause + defaultLivenessTimeout + absl::Milliseconds(1)));
}

} // namespace

} // namespace Bergamotramp
