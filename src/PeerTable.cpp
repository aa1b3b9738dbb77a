#include "PeerTable.h"

namespace Bergamotramp {

namespace {

// With a single address, callers would have no host to use while that host restarts.
constexpr std::size_t minAddresses = 2;
// Callers accept no more addresses than this in one answer.
constexpr std::size_t maxAddresses = 64;

std::vector<std::string> selectAddresses(const std::vector<EntryEndpoint> &ready, std::string EntryEndpoint::*member, std::string_view value)
{
    std::vector<std::string> addresses;
    for (const EntryEndpoint &entry : ready) {
        if (entry.*member == value && addresses.size() < maxAddresses) {
            addresses.push_back(entry.address);
        }
    }
    return addresses;
}

} // namespace

bool PeerTable::update(const Peer &peer)
{
    Peer &known = this->peers[peer.name];
    const bool older = peer.incarnation < known.incarnation || (peer.incarnation == known.incarnation && peer.sequence <= known.sequence);
    if (!known.name.empty() && older) {
        return false;
    }
    known = peer;
    return true;
}

std::vector<std::string> PeerTable::evictSilent(absl::Time now)
{
    std::vector<std::string> evictedAddresses;
    std::erase_if(this->peers, [now, &evictedAddresses](const auto &entry) {
        const bool silent = now > entry.second.lastHeard + silentPeerRetention;
        if (silent) {
            evictedAddresses.push_back(entry.second.peerAddress);
        }
        return silent;
    });
    return evictedAddresses;
}

void PeerTable::postponeTimeouts(absl::Duration pause)
{
    for (auto &[name, peer] : this->peers) {
        peer.lastHeard += pause;
    }
}

const Peer *PeerTable::find(std::string_view name) const
{
    const auto found = this->peers.find(name);
    return found == this->peers.end() ? nullptr : &found->second;
}

bool PeerTable::isLive(std::string_view name, absl::Time now) const
{
    const Peer *peer = this->find(name);
    return peer != nullptr && isLive(*peer, now);
}

bool PeerTable::isLive(const Peer &peer, absl::Time now)
{
    return !peer.leaving && now <= peer.lastHeard + peer.livenessTimeout;
}

std::vector<Peer> PeerTable::liveHosts(absl::Time now) const
{
    std::vector<Peer> result;
    for (const auto &[name, peer] : this->peers) {
        if (isLive(peer, now)) {
            result.push_back(peer);
        }
    }
    return result;
}

const std::map<std::string, Peer, std::less<>> &PeerTable::all() const
{
    return this->peers;
}

std::size_t PeerTable::size() const
{
    return this->peers.size();
}

std::vector<std::string> selectEntryAddresses(const std::vector<EntryEndpoint> &ready, std::string_view region, std::string_view dataCentre)
{
    std::vector<std::string> addresses = selectAddresses(ready, &EntryEndpoint::dataCentre, dataCentre);
    if (addresses.size() < minAddresses) {
        addresses = selectAddresses(ready, &EntryEndpoint::region, region);
    }
    if (addresses.size() < minAddresses) {
        addresses.clear();
        for (const EntryEndpoint &entry : ready) {
            if (addresses.size() < maxAddresses) {
                addresses.push_back(entry.address);
            }
        }
    }
    return addresses;
}

} // namespace Bergamotramp
