#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <absl/time/time.h>

#include "CrashQuarantine.h"
#include "EventLoop.h"
#include "FleetLoad.h"
#include "PeerTable.h"

namespace Bergamotramp {

/** State of this host that is announced to the others, beside its load. */
struct AnnouncedState {
    bool ready = false;
    bool leaving = false;
    std::uint64_t configRevision = 0;
    std::uint64_t upstreamRevision = 0;
    bool storeSilent = false;

    bool operator==(const AnnouncedState &) const = default;
};

/**
 * Announces this host's state and load to the other hosts by UDP datagrams, and applies their announcements to the table of
 * peers, the fleet load and the crash counts. A lost datagram is not resent; the next announcement replaces it. Data that must
 * arrive is therefore not sent this way.
 */
class PeerExchange
{
public:
    struct Hooks {
        std::function<AnnouncedState()> announcedState;
        std::function<void(const Peer &)> announcementReceived;
    };

    /** Binds @p self.peerAddress; throws std::runtime_error when that fails. */
    PeerExchange(EventLoop &loop, Peer self, PeerTable &peers, FleetLoad &load, CrashQuarantine &crashQuarantine, Hooks hooks);

    ~PeerExchange();
    PeerExchange(const PeerExchange &) = delete;
    PeerExchange &operator=(const PeerExchange &) = delete;

    /** The bound address, with the actual port. */
    [[nodiscard]] const std::string &address() const;
    /** Age that the known loads of other data centres may have in addition to the age of the near hosts' loads; 0 in a small fleet. */
    [[nodiscard]] absl::Duration farLoadAge() const;
    /** Sends the identity of this host to @p peerAddress with the next tick, unless the address is known already. */
    void introduceTo(const std::string &peerAddress);
    /** Announces the current state to all hosts immediately, for example before a stop. */
    void announceNow();
    /** Adds the crash counts of these request fingerprints to the announcements of the next seconds. */
    void announceCrashes(const std::vector<std::pair<std::uint64_t, std::uint32_t>> &counts);

private:
    struct Socket;

    void tick();
    /** Sends all loads if @p complete, else changed ones, to the live hosts that @p isReceiver accepts, or to all known hosts if @p withIdentity. */
    void announce(bool complete, bool withIdentity, const std::function<bool(const Peer &)> &isReceiver);
    /** Encodes a datagram, with the identity of this host and the addresses of up to @p maxNamedPeers live hosts unless that is 0. */
    [[nodiscard]] std::string encode(const LoadAnnouncement &announcement, std::size_t maxNamedPeers);
    /** Sends the identity of this host and the addresses of all live hosts to one host. */
    void sendIdentity(const std::string &peerAddress);
    /** Sends the identity of this host to the addresses that have been learned since the last call. */
    void sendIntroductions();
    /** Whether the host is in the same data centre; in a small fleet all hosts are near. */
    [[nodiscard]] bool isNear(const Peer &peer) const;
    void receiveDatagrams();
    void handleDatagram(const std::string &bytes, const std::string &senderAddress);

    EventLoop &loop;
    Peer self;
    PeerTable &peers;
    FleetLoad &load;
    CrashQuarantine &crashQuarantine;
    Hooks hooks;
    std::unique_ptr<Socket> socket;
    /** Datagram addresses of other hosts: all that are known, those to send the identity to next, and those that have not answered. */
    std::set<std::string> knownAddresses;
    std::set<std::string> pendingIntroductions;
    std::set<std::string> unansweredAddresses;
    /** Host names by the hash that identifies the sender of a datagram without an identity. */
    std::map<std::uint32_t, std::string> namesByKey;
    std::vector<std::pair<std::uint64_t, std::uint32_t>> crashCounts;
    absl::Time announceCrashesUntil = absl::InfinitePast();
    std::size_t nextPeerToName = 0;
    absl::Time lastCompleteAnnouncement = absl::InfinitePast();
    absl::Time lastRegionAnnouncement = absl::InfinitePast();
    absl::Time lastIdentityAnnouncement = absl::InfinitePast();
    LoopTimer timer;
};

} // namespace Bergamotramp
