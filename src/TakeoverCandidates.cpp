#include "TakeoverCandidates.h"

#include <algorithm>
#include <cmath>

#include "RendezvousHash.h"

namespace Bergamotramp {

namespace {

// Longer than it takes until all hosts of a large fleet have seen in the store that another one has taken the job over.
constexpr absl::Duration takeoverStep = absl::Seconds(2);

} // namespace

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

std::size_t takeoverRank(
    const PeerTable &peers, std::string_view jobId, std::string_view self, std::string_view ownDataCentre, std::string_view runner, absl::Time now)
{
    const std::vector<std::string> candidates = takeoverCandidates(peers, self, ownDataCentre, runner, now);
    if (std::ranges::find(candidates, self) != candidates.end()) {
        return rendezvousRank(jobId, candidates, self);
    }
    std::vector<std::string> others;
    for (const Peer &peer : peers.liveHosts(now)) {
        if (std::ranges::find(candidates, peer.name) == candidates.end()) {
            others.push_back(peer.name);
        }
    }
    return candidates.size() + rendezvousRank(jobId, others, self);
}

// The hosts that come first take the job over only if they agree that they do, and two hosts that know different parts of the fleet may each
// wait for the other. With each further step twice as many hosts may take the job over, so that one of them does after a few steps
// also in a large fleet, and a few of them at the most compete with conditional writes.
absl::Duration takeoverWait(std::size_t rank)
{
    return takeoverStep * std::log2(1.0 + static_cast<double>(rank));
}

} // namespace Bergamotramp
