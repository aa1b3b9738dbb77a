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

#include "CrashSuspects.h"
#include "EventLoop.h"
#include "FleetLoad.h"
#include "PeerBoard.h"

namespace Bergamotramp {

/** What a host announces of itself. */
struct OwnState {
    bool ready = false;
    bool leaving = false;
    std::uint64_t configRevision = 0;
    std::uint64_t upstreamRevision = 0;
    bool storeSilent = false;

    bool operator==(const OwnState &) const = default;
};

/**
 * Announces this host's state and load to the other hosts by datagrams, and takes theirs. A lost datagram is replaced by
 * the next one; nothing that has to last is sent this way.
 */
class PeerExchange
{
public:
    struct Hooks {
        std::function<OwnState()> ownState;
        std::function<void(const Peer &)> heard;
    };

    /** Binds @p self.peerAddress; throws std::runtime_error. */
    PeerExchange(EventLoop &loop, Peer self, PeerBoard &board, FleetLoad &load, CrashSuspects &suspects, Hooks hooks);

    ~PeerExchange();
    PeerExchange(const PeerExchange &) = delete;
    PeerExchange &operator=(const PeerExchange &) = delete;

    /** The bound address, with the port that was chosen. */
    [[nodiscard]] const std::string &address() const;
    /** Age that the known loads of other data centres may have, beyond those of the near hosts. */
    [[nodiscard]] absl::Duration farLoadAge() const;
    /** Announces this host to an address of another one. */
    void introduce(const std::string &peerAddress);
    /** Announces the present state to all hosts at once, for example before a stop. */
    void announceNow();
    /** Sends the crash counts of these fingerprints with the next announcements. */
    void announceCrashes(const std::vector<std::pair<std::uint64_t, std::uint32_t>> &counts);

private:
    struct Socket;

    void tick();
    /** Sends to the hosts that @p receiver accepts. */
    void announce(bool complete, bool withIdentity, const std::function<bool(const Peer &)> &receiver);
    /** With the identity of this host and up to @p knownPeers others, unless that is 0. */
    [[nodiscard]] std::string encode(const LoadAnnouncement &announcement, std::size_t knownPeers);
    /** Tells one host who this one is, and which others there are. */
    void sendIdentity(const std::string &peerAddress);
    /** Announces this host to those that it has learned of since the last time. */
    void sendIntroductions();
    [[nodiscard]] bool near(const Peer &peer) const;
    void receive();
    void take(const std::string &bytes, const std::string &sender);

    EventLoop &loop;
    Peer self;
    PeerBoard &board;
    FleetLoad &load;
    CrashSuspects &suspects;
    Hooks hooks;
    std::unique_ptr<Socket> socket;
    /** Addresses of other hosts: all that are known, those to be sent to next, and those that have not answered. */
    std::set<std::string> met;
    std::set<std::string> introductions;
    std::set<std::string> unanswered;
    /** Names by the short number that datagrams without an identity carry. */
    std::map<std::uint32_t, std::string> names;
    std::vector<std::pair<std::uint64_t, std::uint32_t>> crashes;
    absl::Time crashesUntil = absl::InfinitePast();
    std::size_t nextKnownPeer = 0;
    absl::Time lastComplete = absl::InfinitePast();
    absl::Time lastFar = absl::InfinitePast();
    absl::Time lastIdentity = absl::InfinitePast();
    LoopTimer timer;
};

} // namespace Bergamotramp
