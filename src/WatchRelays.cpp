#include "WatchRelays.h"

#include <algorithm>
#include <functional>
#include <vector>

#include "RendezvousHash.h"

namespace Bergamotramp {

WatchRelays::WatchRelays(const PeerBoard &board, std::string self, std::string dataCentre, std::uint32_t linkMbps)
    : board(board), self(std::move(self)), dataCentre(std::move(dataCentre)), linkMbps(linkMbps)
{
}

std::optional<Peer> WatchRelays::relay(absl::Time now) const
{
    if (this->board.size() <= PeerBoard::smallFleet) {
        return std::nullopt;
    }
    std::vector<std::string> near{this->self};
    std::map<std::string, std::uint32_t> bandwidth{{this->self, this->linkMbps}};
    for (const Peer &peer : this->board.liveHosts(now)) {
        if (peer.dataCentre == this->dataCentre) {
            near.push_back(peer.name);
            bandwidth[peer.name] = peer.linkMbps;
        }
    }
    // A relay sends a large configuration to all its followers, so that the hosts with the most bandwidth come first.
    std::vector<std::string> relays = rendezvousOrder(this->dataCentre, std::move(near));
    std::ranges::stable_sort(relays, std::greater(), [&bandwidth](const std::string &name) { return bandwidth[name]; });
    relays.resize(std::min(relays.size(), relaysPerDataCentre));
    if (std::ranges::find(relays, this->self) != relays.end()) {
        return std::nullopt;
    }
    // Half of the followers ask each relay first.
    std::ranges::sort(relays, {}, [this](const std::string &name) { return stableHash(stableHash(name), this->self); });
    for (const std::string &name : relays) {
        if (this->usable(name, now)) {
            return *this->board.find(name);
        }
    }
    return std::nullopt;
}

bool WatchRelays::usable(std::string_view relay, absl::Time now) const
{
    const auto distrusted = this->distrustedUntil.find(relay);
    return this->board.live(relay, now) && (distrusted == this->distrustedUntil.end() || now >= distrusted->second);
}

void WatchRelays::distrust(const std::string &relay, absl::Time now)
{
    this->distrustedUntil[relay] = now + distrustTime;
}

std::size_t WatchRelays::directWatchers(absl::Time now) const
{
    const std::size_t hosts = this->board.size() + 1;
    if (this->board.size() <= PeerBoard::smallFleet) {
        return hosts;
    }
    std::map<std::string, std::size_t> hostsOf{{this->dataCentre, 1}};
    for (const Peer &peer : this->board.liveHosts(now)) {
        ++hostsOf[peer.dataCentre];
    }
    std::size_t watchers = 0;
    for (const auto &[name, count] : hostsOf) {
        watchers += std::min(count, relaysPerDataCentre);
    }
    return watchers;
}

} // namespace Bergamotramp
