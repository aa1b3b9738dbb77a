#include "WatchRelaySelector.h"

#include <algorithm>
#include <functional>
#include <vector>

#include "RendezvousHash.h"

namespace Bergamotramp {

WatchRelaySelector::WatchRelaySelector(const PeerTable &peerTable, std::string self, std::string dataCentre, std::uint32_t linkMbps)
    : peerTable(peerTable), self(std::move(self)), dataCentre(std::move(dataCentre)), linkMbps(linkMbps)
{
}

std::optional<Peer> WatchRelaySelector::selectRelay(absl::Time now) const
{
    if (this->peerTable.size() <= PeerTable::maxFullMeshPeers) {
        return std::nullopt;
    }
    std::vector<std::string> candidates{this->self};
    std::map<std::string, std::uint32_t> bandwidth{{this->self, this->linkMbps}};
    for (const Peer &peer : this->peerTable.liveHosts(now)) {
        if (peer.dataCentre == this->dataCentre) {
            candidates.push_back(peer.name);
            bandwidth[peer.name] = peer.linkMbps;
        }
    }
    // A relay sends a possibly large configuration to all its followers, so the hosts with the most bandwidth are preferred.
    std::vector<std::string> relays = rendezvousOrder(this->dataCentre, std::move(candidates));
    std::ranges::stable_sort(relays, std::greater(), [&bandwidth](const std::string &name) { return bandwidth[name]; });
    relays.resize(std::min(relays.size(), relaysPerDataCentre));
    if (std::ranges::find(relays, this->self) != relays.end()) {
        return std::nullopt;
    }
    // Sorts by a hash of relay name and own name, so that each of the two relays is the first choice of about half of the followers.
    std::ranges::sort(relays, {}, [this](const std::string &name) { return stableHash(stableHash(name), this->self); });
    for (const std::string &name : relays) {
        if (this->isUsable(name, now)) {
            return *this->peerTable.find(name);
        }
    }
    return std::nullopt;
}

bool WatchRelaySelector::isUsable(std::string_view relay, absl::Time now) const
{
    const auto excluded = this->excludedUntil.find(relay);
    return this->peerTable.isLive(relay, now) && (excluded == this->excludedUntil.end() || now >= excluded->second);
}

void WatchRelaySelector::exclude(const std::string &relay, absl::Time now)
{
    this->excludedUntil[relay] = now + exclusionTime;
}

std::size_t WatchRelaySelector::directWatcherCount(absl::Time now) const
{
    const std::size_t hosts = this->peerTable.size() + 1;
    if (this->peerTable.size() <= PeerTable::maxFullMeshPeers) {
        return hosts;
    }
    std::map<std::string, std::size_t> hostsByDataCentre{{this->dataCentre, 1}};
    for (const Peer &peer : this->peerTable.liveHosts(now)) {
        ++hostsByDataCentre[peer.dataCentre];
    }
    std::size_t watchers = 0;
    for (const auto &[name, count] : hostsByDataCentre) {
        watchers += std::min(count, relaysPerDataCentre);
    }
    return watchers;
}

} // namespace Bergamotramp
