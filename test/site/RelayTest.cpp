#include <absl/strings/str_cat.h>

#include "RendezvousHash.h"
#include "SiteFleet.h"
#include "WatchRelays.h"

namespace Bergamotramp {

namespace {

/** A fleet that is large enough for relays, in one data centre. */
class RelayTest : public SiteFleet
{
protected:
    static constexpr int hostCount = static_cast<int>(PeerBoard::smallFleet) + 3;

    void start()
    {
        this->writeConfig(1);
        this->addUpstream("plain", 0);
        this->addUpstream("plain", 0);
        this->startHosts(hostCount);
        // Watches that began while the fleet was still small go to relays when they end.
        runFor(this->loop, absl::Seconds(1));
    }

    [[nodiscard]] std::vector<std::string> relayNames() const
    {
        std::vector<std::string> names;
        for (int number = 0; number < hostCount; ++number) {
            names.push_back(absl::StrCat("host-", number));
        }
        names = rendezvousOrder("a", names);
        names.resize(WatchRelays::relaysPerDataCentre);
        return names;
    }

    [[nodiscard]] std::vector<RunningHost *> running() const
    {
        std::vector<RunningHost *> result;
        for (const auto &host : this->hosts) {
            if (host->host) {
                result.push_back(host.get());
            }
        }
        return result;
    }

    /** Changes the upstreams and waits until every host has taken the change in. */
    void drainFirstUpstream()
    {
        this->registerUpstream(*this->upstreams[0], "plain", "draining");
        // The drain time of the users' large sites.
        runFor(this->loop, absl::Seconds(4));
        const auto before = this->upstreams[0]->runs().size();
        for (RunningHost *host : this->running()) {
            for (int request = 0; request < 4; ++request) {
                EXPECT_EQ(this->request(*host, "/plain/x", absl::StrCat("after-", host->host->currentSettings().name, "-", request)).head.status, 200);
            }
        }
        EXPECT_EQ(this->upstreams[0]->runs().size(), before);
    }
};

// Guards against calls to the store that grow with the hosts: of fifteen hosts two watch, and all see the change.
TEST_F(RelayTest, changesReachAllHostsThroughTheRelays)
{
    this->start();
    for (int change = 0; change < 20; ++change) {
        this->registerUpstream(*this->upstreams[1], "plain", "ready");
        runFor(this->loop, absl::Milliseconds(100));
    }
    const std::uint64_t before = this->store.calls();
    for (int change = 0; change < 10; ++change) {
        this->registerUpstream(*this->upstreams[1], "plain", "ready");
        runFor(this->loop, absl::Milliseconds(200));
    }
    // Each of fifteen hosts would have asked again after each of the ten changes.
    EXPECT_LT(this->store.calls() - before, 10U * hostCount / 2);
    this->drainFirstUpstream();
}

// Guards against hosts that are blind because the relays that they followed are gone.
TEST_F(RelayTest, hostsFollowTheStoreWithoutTheirRelays)
{
    this->start();
    for (const std::string &name : this->relayNames()) {
        for (RunningHost *host : this->running()) {
            if (host->host->currentSettings().name == name) {
                this->kill(*host);
            }
        }
    }
    EXPECT_EQ(this->running().size(), static_cast<std::size_t>(hostCount) - WatchRelays::relaysPerDataCentre);
    this->drainFirstUpstream();
}

} // namespace

} // namespace Bergamotramp
