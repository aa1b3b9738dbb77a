#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <absl/time/time.h>

#include "AnnouncementSchedule.h"
#include "CrashQuarantine.h"
#include "EventLoop.h"
#include "FleetLoad.h"
#include "LeavingRuns.h"
#include "PeerTable.h"
#include "PromptPartQuarantine.h"
#include "StatedLimits.h"
#include "peer.pb.h"

namespace Bergamotramp {

/** State of this host that is announced to the others, beside its load. */
struct AnnouncedState {
    bool ready = false;
    bool leaving = false;
    std::uint64_t configRevision = 0;
    std::uint64_t upstreamRevision = 0;
    std::uint64_t jobRevision = 0;
    bool storeSilent = false;
    bool watchesStore = false;

    bool operator==(const AnnouncedState &) const = default;
};

/**
 * Announces this host's state and load to the other hosts by UDP datagrams, and applies their announcements to the table of
 * peers, the fleet load, the crash counts and the quarantine of prompt parts. A lost datagram is not resent; the next announcement replaces it. Data that must
 * arrive is therefore not sent this way.
 */
class PeerExchange
{
public:
    struct Hooks {
        std::function<AnnouncedState()> announcedState;
        std::function<void(const Peer &)> announcementReceived;
        /** A report of another host has quarantined a part of prompts or lifted its quarantine. */
        std::function<void(std::uint64_t part, PartChange)> promptPartChanged;
        /** Another host announces that a run of an upstream has stated that it leaves. May be empty. */
        std::function<void(const UpstreamRun &)> leavingUpstreamAnnounced{};
        /** Called for each message of a known host, also when a newer one has arrived before. May be empty. */
        std::function<void(const Peer &, const peer::HostState &)> messageReceived{};
        /** The limits of upstreams to announce: the recent changes, or all that this host has observed. May be empty. */
        std::function<std::vector<LimitReport>(bool recentOnly)> limitReports{};
        /** Another host announces what an upstream stated of its limit. May be empty. */
        std::function<void(const LimitReport &)> limitReported{};
    };

    /** Binds @p self.peerAddress; throws std::runtime_error when that fails. */
    PeerExchange(
        EventLoop &loop, Peer self, PeerTable &peers, FleetLoad &load, CrashQuarantine &crashQuarantine, PromptPartQuarantine &promptParts, Hooks hooks);

    ~PeerExchange();
    PeerExchange(const PeerExchange &) = delete;
    PeerExchange &operator=(const PeerExchange &) = delete;

    /** The bound address, with the actual port. */
    [[nodiscard]] const std::string &address() const;
    /** Age that the known loads of near hosts may have. */
    [[nodiscard]] absl::Duration nearLoadAge() const;
    /** Age that the known loads of other data centres may have in addition to the age of the near hosts' loads; 0 in a small fleet. */
    [[nodiscard]] absl::Duration farLoadAge() const;
    /** Longest time for which a datagram waits before it is read; 0 in a small fleet. */
    [[nodiscard]] absl::Duration receiveDelay() const;
    /** Whether the addresses of other hosts are known, whether or not these have answered. */
    [[nodiscard]] bool knowsAddresses() const;
    /** Sends the identity of this host to @p peerAddress with the next tick, unless the address is known already. */
    void introduceTo(const std::string &peerAddress);
    /** The same, and asks for the addresses of all hosts that it knows. */
    void askForPeers(const std::string &peerAddress);
    /** When this host last learned of another host; infinite past when it knows none. */
    [[nodiscard]] absl::Time lastPeerFoundAt() const;
    /** Sends the current state to one host, with what @p fill adds to it. */
    void sendTo(const Peer &peer, const std::function<void(peer::HostState &)> &fill);
    /** Announces the current state to all hosts immediately, for example before a stop. */
    void announceNow();
    /** Adds the crash counts of these request fingerprints to the announcements of the next seconds. */
    void announceCrashes(const std::vector<CrashCount> &counts);
    /** Adds the state of these parts of prompts to the announcements of the next seconds. */
    void announcePromptParts(const std::vector<std::uint64_t> &parts);
    /** Adds a run of an upstream that has stated that it leaves to the announcements of the next seconds. */
    void announceLeavingUpstream(const UpstreamRun &run);

private:
    struct Socket;

    void tick();
    /** An address whose host has not answered an introduction. */
    struct Introduction {
        bool asksForPeers = false;
        int sent = 0;
        absl::Time next = absl::InfinitePast();
    };

    void updateSchedule();
    void announce(const AnnouncementSchedule::Round &round);
    /** The message without loads and identity. */
    [[nodiscard]] peer::HostState currentState();
    /** Adds the parts that are announced now, and the quarantined ones if @p quarantined. */
    void addPromptParts(peer::HostState &message, bool quarantined);
    static void addLoad(peer::HostState &message, const LoadAnnouncement &announcement);
    /** Adds the identity of this host and the addresses of up to @p maxNamedPeers live hosts. */
    void addIdentity(peer::HostState &message, std::size_t maxNamedPeers);
    void send(const std::string &bytes, const std::string &peerAddress);
    void sendIdentity(const std::string &peerAddress, peer::Request request, std::size_t maxNamedPeers);
    /** Sends the identity of this host to the addresses whose hosts have not answered yet. */
    void sendIntroductions(absl::Time now);
    void answerRequest(const peer::HostState &message, const std::string &senderAddress);
    [[nodiscard]] PeerDistance distanceOf(const Peer &peer) const;
    [[nodiscard]] bool announcesUrgentPart(absl::Time now) const;
    /** Whether a crash count is announced that another crash would raise to a quarantine. */
    [[nodiscard]] bool announcesUrgentCrash(absl::Time now) const;
    void receiveDatagrams();
    void handleDatagram(const std::string &bytes, const std::string &senderAddress);
    /** The sender with its announced state; nothing when its name is not known. */
    [[nodiscard]] std::optional<Peer> decodeSender(const peer::HostState &message, const std::string &senderAddress);
    void applyLoad(const Peer &sender, const peer::HostState &message);
    void applyCrashCounts(const peer::HostState &message);
    void applyPromptParts(const peer::HostState &message);
    void addLeavingUpstreams(peer::HostState &message);
    void applyLeavingUpstreams(const peer::HostState &message);
    void addLimits(peer::HostState &message, bool recentOnly);
    void applyLimits(const peer::HostState &message);

    EventLoop &loop;
    Peer self;
    PeerTable &peers;
    FleetLoad &load;
    CrashQuarantine &crashQuarantine;
    PromptPartQuarantine &promptParts;
    Hooks hooks;
    std::unique_ptr<Socket> socket;
    AnnouncementSchedule schedule;
    /** Datagram addresses of all other hosts that are known, and those of them that have not answered. */
    std::set<std::string> knownAddresses;
    std::map<std::string, Introduction> introductions;
    absl::Time peerFoundAt = absl::InfinitePast();
    /** Host names by the hash that identifies the sender of a datagram without an identity. */
    std::map<std::uint32_t, std::string> namesByKey;
    std::vector<CrashCount> crashCounts;
    absl::Time announceCrashesUntil = absl::InfinitePast();
    /** Parts of prompts whose state is announced, with the end of that; the newest last. */
    std::deque<std::pair<std::uint64_t, absl::Time>> announcedParts;
    /** Leaving upstreams that are announced, each with the time until which it is, in the order in which they were added. */
    std::deque<std::pair<UpstreamRun, absl::Time>> announcedLeavingUpstreams;
    std::size_t nextPeerToName = 0;
    LoopTimer receiveTimer;
    LoopTimer timer;
};

} // namespace Bergamotramp
