#include "PeerDiscovery.h"

#include <optional>
#include <utility>

#include <gtest/gtest.h>
#include <unistd.h>

#include "InMemoryObjectStore.h"
#include "LoopRunner.h"

namespace Bergamotramp {

namespace {

constexpr const char *hostsKind = "hosts";

class PeerDiscoveryTest : public testing::Test
{
protected:
    PeerDiscoveryTest()
        : exchange(this->loop,
                   {.name = "host-a", .region = "north", .dataCentre = "a", .entryAddress = "", .controlAddress = "", .peerAddress = "127.0.0.1:0"},
                   this->peers,
                   this->load,
                   this->crashQuarantine,
                   this->promptParts,
                   {.announcedState = [] { return AnnouncedState{}; }, .announcementReceived = [](const Peer &) {}, .promptPartChanged = {}})
        , discovery({.loop = this->loop,
                     .store = this->store,
                     .exchange = this->exchange,
                     .peers = this->peers,
                     .log = this->log,
                     .randomFraction = [] { return 0.0; },
                     .hostsListed = [this](std::size_t hosts, bool includesThisHost) { this->reported.emplace_back(hosts, includesThisHost); }},
                    "host-a",
                    this->exchange.address())
    {
    }

    /** Name of this host's object in the store. */
    [[nodiscard]] std::string ownObject() const
    {
        const std::string &address = this->exchange.address();
        const std::size_t colon = address.rfind(':');
        return address.substr(0, colon) + "-" + address.substr(colon + 1);
    }

    EventLoop loop;
    JsonLog log{this->loop, "host-a", STDERR_FILENO};
    InMemoryObjectStore store{this->loop};
    PeerTable peers;
    FleetLoad load;
    CrashQuarantine crashQuarantine;
    PromptPartQuarantine promptParts;
    /** What hostsListed got: the number of hosts, and whether this host was among them before it started. */
    std::vector<std::pair<std::size_t, bool>> reported;
    PeerExchange exchange;
    PeerDiscovery discovery;
};

// Guards against a host that restarts and is taken for a new one, so that callers wait until it knows the other hosts.
TEST_F(PeerDiscoveryTest, hostThatRestartsFindsItsRegistration)
{
    this->store.write(hostsKind, this->ownObject(), {{"name", "host-a"}, {"peerAddress", this->exchange.address()}});
    this->store.write(hostsKind, "127.0.0.1-9", {{"name", "host-b"}, {"peerAddress", "127.0.0.1:9"}});
    this->discovery.start({});
    ASSERT_TRUE(runUntil(this->loop, [this] { return !this->reported.empty(); }));
    EXPECT_EQ(this->reported.front(), std::pair(std::size_t(2), true));
    EXPECT_EQ(this->store.lastCreated(hostsKind), absl::InfinitePast());
}

// Guards against a new host that is not registered, or that takes its own new registration for that of an earlier run.
TEST_F(PeerDiscoveryTest, newHostRegistersAndListsTheHostsAgain)
{
    this->discovery.start({});
    ASSERT_TRUE(runUntil(this->loop, [this] { return this->reported.size() == 2; }));
    EXPECT_TRUE(this->store.contains(hostsKind, this->ownObject()));
    EXPECT_EQ(this->reported.front(), std::pair(std::size_t(0), false));
    EXPECT_EQ(this->reported.back(), std::pair(std::size_t(1), false));
}

} // namespace

} // namespace Bergamotramp
