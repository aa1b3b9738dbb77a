#include <gtest/gtest.h>

#include <absl/strings/str_cat.h>

#include "WatchRelaySelector.h"

namespace Bergamotramp {

namespace {

const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
constexpr std::uint32_t fastLinkMbps = 200;
constexpr std::uint32_t slowLinkMbps = 30;

struct FleetHost {
    std::string name;
    std::string dataCentre;
    std::uint32_t linkMbps = 0;
};

/** A fleet of hosts, with the peer table of each host. */
class WatchRelaySelectorTest : public testing::Test
{
protected:
    void build(int dataCentres, int hostsEach)
    {
        for (int centre = 0; centre < dataCentres; ++centre) {
            for (int host = 0; host < hostsEach; ++host) {
                this->hosts.push_back({.name = absl::StrCat("host-", centre, "-", host),
                                       .dataCentre = absl::StrCat("centre-", centre),
                                       .linkMbps = host % 5 == 3 ? fastLinkMbps : slowLinkMbps});
            }
        }
    }

    [[nodiscard]] PeerTable peersOf(const FleetHost &self, absl::Time now) const
    {
        PeerTable peerTable;
        for (const FleetHost &fleetHost : this->hosts) {
            if (fleetHost.name != self.name) {
                const absl::Time lastAnnouncement = this->silent.contains(fleetHost.name) ? start - absl::Minutes(1) : now;
                Peer peer{.name = fleetHost.name, .region = "north", .dataCentre = fleetHost.dataCentre, .entryAddress = {}, .controlAddress = {}};
                peer.incarnation = 1;
                peer.sequence = 1;
                peer.linkMbps = fleetHost.linkMbps;
                peer.lastHeard = lastAnnouncement;
                peerTable.update(peer);
            }
        }
        return peerTable;
    }

    /** The relay that each host follows, by host name; empty for a host that watches the store itself. */
    [[nodiscard]] std::map<std::string, std::string> relaysOfAll() const
    {
        std::map<std::string, std::string> result;
        for (const FleetHost &fleetHost : this->hosts) {
            const PeerTable peerTable = this->peersOf(fleetHost, start);
            const auto relay = WatchRelaySelector(peerTable, fleetHost.name, fleetHost.dataCentre, fleetHost.linkMbps).select(start).relay;
            result[fleetHost.name] = relay ? relay->name : "";
        }
        return result;
    }

    std::vector<FleetHost> hosts;
    std::set<std::string> silent;
};

// Guards against a number of store calls that grows with the number of hosts: of 90 hosts in six data centres, twelve watch the store.
TEST_F(WatchRelaySelectorTest, fewHostsOfALargeFleetWatchTheStore)
{
    this->build(6, 15);
    std::map<std::string, int> followers;
    for (const auto &[host, relay] : this->relaysOfAll()) {
        ++followers[relay];
    }
    EXPECT_EQ(followers[""], 12);
    for (const auto &[relay, count] : followers) {
        EXPECT_TRUE(relay.empty() || count <= 11) << relay << " has " << count << " of 13 followers";
    }
    const PeerTable peerTable = this->peersOf(this->hosts[0], start);
    EXPECT_EQ(WatchRelaySelector(peerTable, this->hosts[0].name, this->hosts[0].dataCentre, 0).directWatcherCount(start), 12U);
}

// Guards against two hosts that follow each other and get no changes, and against a relay with a slow link, which would have to
// send each change to all its followers.
TEST_F(WatchRelaySelectorTest, relaysFollowNobodyAndHaveTheWidestLinks)
{
    this->build(4, 10);
    const auto relays = this->relaysOfAll();
    for (const auto &[host, relay] : relays) {
        if (!relay.empty()) {
            EXPECT_EQ(relays.at(relay), "") << host << " follows " << relay;
            const auto fleetHost = std::ranges::find(this->hosts, relay, &FleetHost::name);
            EXPECT_EQ(fleetHost->linkMbps, fastLinkMbps) << relay;
        }
    }
}

// Guards against relays in small fleets, where they save little.
TEST_F(WatchRelaySelectorTest, hostsOfASmallFleetWatchTheStoreThemselves)
{
    this->build(3, 3);
    for (const auto &[host, relay] : this->relaysOfAll()) {
        EXPECT_EQ(relay, "") << host;
    }
}

// Guards against hosts that keep following a relay that is dead or was found to lag behind.
TEST_F(WatchRelaySelectorTest, silentAndExcludedRelaysAreReplaced)
{
    this->build(2, 10);
    const FleetHost follower =
        *std::ranges::find_if(this->hosts, [relays = this->relaysOfAll()](const FleetHost &fleetHost) { return !relays.at(fleetHost.name).empty(); });
    const std::string first = this->relaysOfAll().at(follower.name);
    this->silent = {first};
    const std::string second = this->relaysOfAll().at(follower.name);
    EXPECT_NE(second, first);
    this->silent.clear();
    const PeerTable peerTable = this->peersOf(follower, start);
    WatchRelaySelector selector(peerTable, follower.name, follower.dataCentre, follower.linkMbps);
    const absl::Time excludedUntil = start + WatchRelaySelector::exclusionTime;
    selector.exclude(first, excludedUntil);
    const auto other = selector.select(start).relay;
    ASSERT_TRUE(other.has_value());
    EXPECT_NE(other->name, first);
    selector.exclude(other->name, excludedUntil);
    absl::Time now = start;
    // Eight of the ten hosts of a data centre are no relays; the last of them waits longest.
    const absl::Time lastFallback = start + WatchRelaySelector::storeFallbackInterval * 7;
    while (now < lastFallback && selector.select(now).kind == WatchSource::Kind::Wait) {
        now += absl::Milliseconds(10);
    }
    EXPECT_EQ(selector.select(now).kind, WatchSource::Kind::Store) << "without a relay the host watches the store";
}

// Guards against all hosts of a data centre going to the store at once when both relays fail: over a narrow link to another region
// none of them gets an answer in time, and each tries again.
TEST_F(WatchRelaySelectorTest, followersOfFailedRelaysGoToTheStoreOneAfterAnother)
{
    this->build(3, 40);
    const absl::Duration interval = WatchRelaySelector::storeFallbackInterval;
    std::map<int, int> fallbacksByInterval;
    for (const auto &[host, relay] : this->relaysOfAll()) {
        const FleetHost self = *std::ranges::find(this->hosts, host, &FleetHost::name);
        if (relay.empty() || self.dataCentre != "centre-0") {
            continue;
        }
        const PeerTable peerTable = this->peersOf(self, start + absl::Minutes(1));
        WatchRelaySelector selector(peerTable, self.name, self.dataCentre, self.linkMbps);
        while (const auto next = selector.select(start).relay) {
            selector.exclude(next->name, absl::InfiniteFuture());
        }
        int intervals = 0;
        while (selector.select(start + interval * intervals).kind != WatchSource::Kind::Store) {
            ++intervals;
            ASSERT_LT(intervals, 100);
        }
        ++fallbacksByInterval[intervals];
    }
    EXPECT_EQ(fallbacksByInterval.size(), 38U);
    EXPECT_EQ(fallbacksByInterval.begin()->first, 0) << "one host must go to the store at once";
}

// Guards against hosts that each watch the store although another host of their data centre does already.
TEST_F(WatchRelaySelectorTest, hostThatReachedTheStoreIsFollowed)
{
    this->build(3, 10);
    const FleetHost follower =
        *std::ranges::find_if(this->hosts, [relays = this->relaysOfAll()](const FleetHost &fleetHost) { return !relays.at(fleetHost.name).empty(); });
    PeerTable peerTable = this->peersOf(follower, start);
    WatchRelaySelector selector(peerTable, follower.name, follower.dataCentre, follower.linkMbps);
    while (const auto next = selector.select(start).relay) {
        selector.exclude(next->name, absl::InfiniteFuture());
    }
    const auto isCandidate = [&](const auto &entry) { return entry.second.dataCentre == follower.dataCentre && selector.isUsable(entry.first, start); };
    Peer watcher = std::ranges::find_if(peerTable.all(), isCandidate)->second;
    watcher.watchesStore = true;
    ++watcher.sequence;
    peerTable.update(watcher);
    const WatchSource source = selector.select(start);
    ASSERT_EQ(source.kind, WatchSource::Kind::Relay);
    EXPECT_EQ(source.relay->name, watcher.name);
}

} // namespace

} // namespace Bergamotramp
