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

WatchSource WatchRelaySelector::select(absl::Time now)
{
    if (this->peerTable.size() <= PeerTable::maxFullMeshPeers) {
        return {.kind = WatchSource::Kind::Store};
    }
    const std::vector<std::string> hosts = this->candidates(now);
    const auto rank = std::ranges::find(hosts, this->self) - hosts.begin();
    if (rank < static_cast<std::ptrdiff_t>(relaysPerDataCentre)) {
        this->withoutRelaySince = absl::InfiniteFuture();
        return {.kind = WatchSource::Kind::Store};
    }
    if (const Peer *relay = this->usableRelay(hosts, now)) {
        this->withoutRelaySince = absl::InfiniteFuture();
        return {.kind = WatchSource::Kind::Relay, .relay = *relay};
    }
    this->withoutRelaySince = std::min(this->withoutRelaySince, now);
    const auto hostsBefore = rank - static_cast<std::ptrdiff_t>(relaysPerDataCentre);
    const bool isNext = now >= this->withoutRelaySince + storeFallbackInterval * hostsBefore;
    return {.kind = isNext ? WatchSource::Kind::Store : WatchSource::Kind::Wait};
}

bool WatchRelaySelector::isRelay(absl::Time now) const
{
    if (this->peerTable.size() <= PeerTable::maxFullMeshPeers) {
        return true;
    }
    const std::vector<std::string> hosts = this->candidates(now);
    return std::ranges::find(hosts, this->self) - hosts.begin() < static_cast<std::ptrdiff_t>(relaysPerDataCentre);
}

std::vector<std::string> WatchRelaySelector::candidates(absl::Time now) const
{
    std::vector<std::string> names{this->self};
    std::map<std::string, std::uint32_t> bandwidth{{this->self, this->linkMbps}};
    for (const auto &[name, peer] : this->peerTable.all()) {
        if (peer.dataCentre == this->dataCentre && PeerTable::isLive(peer, now)) {
            names.push_back(name);
            bandwidth[name] = peer.linkMbps;
        }
    }
    // A relay sends a possibly large configuration to all its followers, so the hosts with the most bandwidth are preferred.
    std::vector<std::string> ordered = rendezvousOrder(this->dataCentre, std::move(names));
    std::ranges::stable_sort(ordered, std::greater(), [&bandwidth](const std::string &name) { return bandwidth[name]; });
    return ordered;
}

const Peer *WatchRelaySelector::usableRelay(const std::vector<std::string> &hosts, absl::Time now) const
{
    // Sorts by a hash of relay name and own name, so that each of the two relays is the first choice of about half of the followers.
    std::vector<std::string> relays(hosts.begin(), hosts.begin() + relaysPerDataCentre);
    std::ranges::sort(relays, {}, [this](const std::string &name) { return stableHash(stableHash(name), this->self); });
    for (const std::string &name : relays) {
        if (this->isUsable(name, now)) {
            return this->peerTable.find(name);
        }
    }
    // Other hosts that had to go to the store, because the relays failed.
    for (const std::string &name : hosts) {
        const Peer *peer = this->peerTable.find(name);
        if (peer != nullptr && peer->watchesStore && this->isUsable(name, now)) {
            return peer;
        }
    }
    return nullptr;
}

bool WatchRelaySelector::isUsable(std::string_view relay, absl::Time now) const
{
    const auto excluded = this->excludedUntil.find(relay);
    return this->peerTable.isLive(relay, now) && (excluded == this->excludedUntil.end() || now >= excluded->second);
}

void WatchRelaySelector::exclude(const std::string &relay, absl::Time until)
{
    this->excludedUntil[relay] = until;
}

std::size_t WatchRelaySelector::directWatcherCount(absl::Time now) const
{
    const std::size_t hosts = this->peerTable.size() + 1;
    if (this->peerTable.size() <= PeerTable::maxFullMeshPeers) {
        return hosts;
    }
    std::map<std::string, std::size_t> hostsByDataCentre{{this->dataCentre, 1}};
    for (const auto &[name, peer] : this->peerTable.all()) {
        if (PeerTable::isLive(peer, now)) {
            ++hostsByDataCentre[peer.dataCentre];
        }
    }
    std::size_t watchers = 0;
    for (const auto &[name, count] : hostsByDataCentre) {
        watchers += std::min(count, relaysPerDataCentre);
    }
    return watchers;
}

} // namespace Bergamotramp
