#include <gtest/gtest.h>

#include <absl/strings/str_cat.h>

#include "WatchRelays.h"

namespace Bergamotramp {

namespace {

const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
constexpr std::uint32_t wideLink = 200;
constexpr std::uint32_t narrowLink = 30;

struct Place {
    std::string name;
    std::string dataCentre;
    std::uint32_t linkMbps = 0;
};

/** A fleet as each of its hosts sees it. */
class WatchRelaysTest : public testing::Test
{
protected:
    void build(int dataCentres, int hostsEach)
    {
        for (int centre = 0; centre < dataCentres; ++centre) {
            for (int host = 0; host < hostsEach; ++host) {
                this->places.push_back({.name = absl::StrCat("host-", centre, "-", host),
                                        .dataCentre = absl::StrCat("centre-", centre),
                                        .linkMbps = host % 5 == 3 ? wideLink : narrowLink});
            }
        }
    }

    [[nodiscard]] PeerBoard boardOf(const Place &self, absl::Time now) const
    {
        PeerBoard board;
        for (const Place &place : this->places) {
            if (place.name != self.name) {
                const absl::Time heard = this->silent.contains(place.name) ? start - absl::Minutes(1) : now;
                Peer peer{.name = place.name, .region = "north", .dataCentre = place.dataCentre, .entryAddress = {}, .controlAddress = {}};
                peer.incarnation = 1;
                peer.sequence = 1;
                peer.linkMbps = place.linkMbps;
                peer.lastHeard = heard;
                board.update(peer);
            }
        }
        return board;
    }

    /** The relay of each host; empty for one that watches the store itself. */
    [[nodiscard]] std::map<std::string, std::string> relaysOfAll() const
    {
        std::map<std::string, std::string> result;
        for (const Place &place : this->places) {
            const PeerBoard board = this->boardOf(place, start);
            const auto relay = WatchRelays(board, place.name, place.dataCentre, place.linkMbps).relay(start);
            result[place.name] = relay ? relay->name : "";
        }
        return result;
    }

    std::vector<Place> places;
    std::set<std::string> silent;
};

// Guards against calls to the store that grow with the hosts: of 90 hosts in six data centres, twelve watch it.
TEST_F(WatchRelaysTest, fewHostsOfALargeFleetWatchTheStore)
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
    const PeerBoard board = this->boardOf(this->places[0], start);
    EXPECT_EQ(WatchRelays(board, this->places[0].name, this->places[0].dataCentre, 0).directWatchers(start), 12U);
}

// Guards against two hosts that follow one another and see nothing, and a narrow link that has to carry all copies.
TEST_F(WatchRelaysTest, relaysFollowNobodyAndHaveTheWidestLinks)
{
    this->build(4, 10);
    const auto relays = this->relaysOfAll();
    for (const auto &[host, relay] : relays) {
        if (!relay.empty()) {
            EXPECT_EQ(relays.at(relay), "") << host << " follows " << relay;
            const auto place = std::ranges::find(this->places, relay, &Place::name);
            EXPECT_EQ(place->linkMbps, wideLink) << relay;
        }
    }
}

// Guards against a change of behaviour in small fleets, where a relay saves little.
TEST_F(WatchRelaysTest, hostsOfASmallFleetWatchTheStoreThemselves)
{
    this->build(3, 3);
    for (const auto &[host, relay] : this->relaysOfAll()) {
        EXPECT_EQ(relay, "") << host;
    }
}

// Guards against hosts that stay with a relay that is dead or was found to be behind.
TEST_F(WatchRelaysTest, silentAndDistrustedRelaysAreLeft)
{
    this->build(2, 10);
    const Place follower = *std::ranges::find_if(this->places, [relays = this->relaysOfAll()](const Place &place) { return !relays.at(place.name).empty(); });
    const std::string first = this->relaysOfAll().at(follower.name);
    this->silent = {first};
    const std::string second = this->relaysOfAll().at(follower.name);
    EXPECT_NE(second, first);
    this->silent.clear();
    const PeerBoard board = this->boardOf(follower, start);
    WatchRelays relays(board, follower.name, follower.dataCentre, follower.linkMbps);
    relays.distrust(first, start);
    const auto other = relays.relay(start);
    ASSERT_TRUE(other.has_value());
    EXPECT_NE(other->name, first);
    relays.distrust(other->name, start);
    EXPECT_FALSE(relays.relay(start).has_value()) << "without a relay the host watches the store";
}

} // namespace

} // namespace Bergamotramp
