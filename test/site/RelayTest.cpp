#include <absl/strings/str_cat.h>

#include "RendezvousHash.h"
#include "SiteFleet.h"
#include "WatchRelaySelector.h"

namespace Bergamotramp {

namespace {

/** A fleet that is large enough for relays, in one data centre. */
class RelayTest : public SiteFleet
{
protected:
    static constexpr int hostCount = static_cast<int>(PeerTable::maxFullMeshPeers) + 3;

    void start()
    {
        this->writeConfig(1);
        this->addUpstream("plain", 0);
        this->addUpstream("plain", 0);
        this->startHosts(hostCount);
        // Watches that started before the hosts knew the whole fleet go to the store. The next ones go to relays.
        runFor(this->loop, absl::Seconds(1));
    }

    [[nodiscard]] std::vector<std::string> relayNames() const
    {
        std::vector<std::string> names;
        for (int number = 0; number < hostCount; ++number) {
            names.push_back(absl::StrCat("host-", number));
        }
        names = rendezvousOrder("a", names);
        names.resize(WatchRelaySelector::relaysPerDataCentre);
        return names;
    }

    [[nodiscard]] std::vector<RunningHost *> runningHosts() const
    {
        std::vector<RunningHost *> result;
        for (const auto &host : this->hosts) {
            if (host->host) {
                result.push_back(host.get());
            }
        }
        return result;
    }

    /** Sets the first upstream to draining and checks that no host sends it requests after the drain time. */
    void expectDrainReachesAllHosts()
    {
        this->registerUpstream(*this->upstreams[0], "plain", "draining");
        // Large sites in production allow this time for a drain.
        runFor(this->loop, absl::Seconds(4));
        const auto callsBefore = this->upstreams[0]->runs().size();
        for (RunningHost *host : this->runningHosts()) {
            for (int request = 0; request < 4; ++request) {
                EXPECT_EQ(this->request(*host, "/plain/x", absl::StrCat("after-", host->host->currentSettings().name, "-", request)).head.status, 200);
            }
        }
        EXPECT_EQ(this->upstreams[0]->runs().size(), callsBefore);
    }
};

// Guards against store calls that grow with the number of hosts: of fifteen hosts only two watch the store, and all see the change.
TEST_F(RelayTest, changesReachAllHostsThroughTheRelays)
{
    this->start();
    for (int change = 0; change < 20; ++change) {
        this->registerUpstream(*this->upstreams[1], "plain", "ready");
        runFor(this->loop, absl::Milliseconds(100));
    }
    const std::uint64_t callsBefore = this->store.calls();
    for (int change = 0; change < 10; ++change) {
        this->registerUpstream(*this->upstreams[1], "plain", "ready");
        runFor(this->loop, absl::Milliseconds(200));
    }
    // Without relays, each of the fifteen hosts would have watched again after each of the ten changes.
    EXPECT_LT(this->store.calls() - callsBefore, 10U * hostCount / 2);
    this->expectDrainReachesAllHosts();
}

// Guards against hosts that no longer learn of changes because all the relays that they followed have been killed.
TEST_F(RelayTest, hostsWatchTheStoreWhenTheirRelaysFail)
{
    this->start();
    for (const std::string &name : this->relayNames()) {
        for (RunningHost *host : this->runningHosts()) {
            if (host->host->currentSettings().name == name) {
                this->crashHost(*host);
            }
        }
    }
    EXPECT_EQ(this->runningHosts().size(), static_cast<std::size_t>(hostCount) - WatchRelaySelector::relaysPerDataCentre);
    this->expectDrainReachesAllHosts();
}

} // namespace

} // namespace Bergamotramp
