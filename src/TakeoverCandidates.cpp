#include "TakeoverCandidates.h"

namespace Bergamotramp {

std::vector<std::string> takeoverCandidates(
    const PeerTable &peers, std::string_view self, std::string_view ownDataCentre, std::string_view runner, absl::Time now)
{
    const Peer *lost = peers.find(runner);
    const bool preferNear = lost != nullptr && peers.size() > PeerTable::maxFullMeshPeers;
    std::vector<std::string> all{std::string(self)};
    std::vector<std::string> near;
    if (preferNear && ownDataCentre == lost->dataCentre) {
        near.emplace_back(self);
    }
    for (const auto &[name, peer] : peers.all()) {
        if (!PeerTable::isLive(peer, now)) {
            continue;
        }
        all.push_back(name);
        if (preferNear && peer.dataCentre == lost->dataCentre) {
            near.push_back(name);
        }
    }
    return near.empty() ? all : near;
}

} // namespace Bergamotramp
