#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <absl/time/time.h>

#include "HostInfo.h"
#include "MemberUpdate.h"
#include "ProbeOrder.h"
#include "UpdateQueue.h"
#include "bergamotramp.pb.h"

namespace Bergamotramp {

/** Timings and limits of Membership. Durations in periods are multiples of MembershipSettings::period. */
struct MembershipSettings {
    /** Probe interval: one member is probed in each period. */
    absl::Duration period = absl::Milliseconds(500);
    /** Shortest time for which a member is suspected before it is declared dead. */
    absl::Duration minSuspicion = absl::Seconds(2);
    /** A suspicion lasts this number of periods times log10(members + 1), but at least minSuspicion. */
    double suspicionPeriods = 5;
    /** Members that are asked to probe a member on behalf of this host. */
    std::size_t indirectProbes = 3;
    /** Most member updates that one probe message or ack carries. */
    std::size_t maxPiggyback = 8;
    /** Most member updates that one message of a digest, the full member list, carries. */
    std::size_t digestPageSize = 32;
    /** One dead member is probed each time this number of periods has passed. */
    std::uint64_t deadProbePeriods = 5;
    /** At most one digest is sent in this number of periods. */
    std::int64_t digestPeriods = 4;
    /** A dead member is removed from the list after this time. */
    absl::Duration deadRetention = absl::Hours(24);

    bool operator==(const MembershipSettings &) const = default;
};

/** An entry of the platform's host list. The incarnation in the field host is ignored. */
struct HostListEntry {
    HostInfo host;
    bool leaving = false;

    bool operator==(const HostListEntry &) const = default;
};

/** Action: send a message. The code that executes the action sets the generation of the ping, ack or ping request. */
struct SendMessage {
    std::string to;
    std::string address;
    wire::Envelope envelope;
};

/** Action: report that the state, incarnation or address of a member or of this host changed. */
struct MemberChanged {
    HostInfo host;
    wire::MemberState state = wire::MEMBER_STATE_ALIVE;

    bool operator==(const MemberChanged &) const = default;
};

/** Action: close the connection to a member, because it may no longer carry messages; the next message opens a new one. */
struct ReplaceConnection {
    std::string to;
    std::string address;

    bool operator==(const ReplaceConnection &) const = default;
};

using MembershipAction = std::variant<SendMessage, MemberChanged, ReplaceConnection>;
using MembershipActions = std::vector<MembershipAction>;

/**
 * Group membership with failure detection in the style of the SWIM protocol, with suspicion, incarnations and refutation.
 * The member states are kept in memory only, and may be wrong or out of date.
 *
 * Does no input or output itself: every event returns the actions that the caller executes in order. tick() has to be
 * called several times in each period.
 */
class Membership
{
public:
    using Members = std::vector<std::pair<HostInfo, wire::MemberState>>;

    /** The incarnation of @p self has to be greater than zero and greater than in every earlier run of this host. */
    Membership(HostInfo self, MembershipSettings settings, std::mt19937_64 random, absl::Time now);

    MembershipActions tick(absl::Time now);
    MembershipActions receivePing(const std::string &from, const wire::Ping &message, absl::Time now);
    MembershipActions receiveAck(const std::string &from, const wire::PingAck &message, absl::Time now);
    MembershipActions receivePingRequest(const std::string &from, const wire::PingRequest &message, absl::Time now);
    /**
     * Applies the platform's host list: unknown hosts become candidates, which are probed until they answer, and a member
     * that the list newly shows as leaving is marked as leaving. A member that has been heard of is never removed.
     */
    MembershipActions receiveHostList(const std::vector<HostListEntry> &entries, absl::Time now);
    /** Marks this host as leaving and announces it to the other members. */
    MembershipActions leave(absl::Time now);

    /** This host and all members that have been heard of, sorted by name. Excludes candidates. */
    [[nodiscard]] Members members() const;
    [[nodiscard]] const HostInfo &self() const;
    [[nodiscard]] bool isLeaving() const;
    /** Last known claim about a member; nothing when it has never been heard of. */
    [[nodiscard]] std::optional<MemberClaim> claim(const std::string &name) const;
    /** Peer address of a member or candidate; empty when it is unknown. */
    [[nodiscard]] std::string addressOf(const std::string &name) const;

private:
    /** Another host. The incarnation is 0 for a candidate, which is known from the host list alone. */
    struct Member {
        HostInfo host;
        wire::MemberState state = wire::MEMBER_STATE_DEAD;
        /** When the member entered its state. */
        absl::Time stateSince;
        absl::Time suspicionEnds = absl::InfiniteFuture();
        /** Latest incarnation of this host that the member has acknowledged. */
        std::uint64_t ackedSelfIncarnation = 0;
        /**
         * The member was first heard of as dead in a digest. It is left out of digests, so that hosts that have removed a
         * dead member don't learn of it again.
         */
        bool deadFromDigest = false;
        /** Whether the latest host list with this member showed it as leaving; empty until it was listed. */
        std::optional<bool> listedAsLeaving;
    };
    /** The probe of the current period. */
    struct Probe {
        std::string target;
        std::uint64_t sequence = 0;
        /** Indirect probes are sent when no ack has come by this time. */
        absl::Time directDeadline;
        /** Incarnation of this host that an ack acknowledges; 0 when this host has changed since the probe was sent. */
        std::uint64_t selfIncarnation = 0;
        bool indirectSent = false;
        bool acked = false;
        bool directlyAcked = false;
    };
    /** An indirect probe that this host sends on behalf of another one. */
    struct RelayedProbe {
        std::string requester;
        std::uint64_t requesterSequence = 0;
        std::string target;
        absl::Time expires;
    };
    using Updates = google::protobuf::RepeatedPtrField<wire::MemberUpdate>;

    [[nodiscard]] bool isLive(const std::string &name) const;
    [[nodiscard]] bool isDead(const std::string &name) const;
    [[nodiscard]] absl::Duration suspicionTimeout() const;
    [[nodiscard]] absl::Duration ackTimeout(const Member &member) const;
    [[nodiscard]] wire::MemberState selfState() const;
    Member *find(const std::string &name);
    Member &addMember(const HostInfo &host, absl::Time now);

    void extendDeadlines(absl::Duration elapsed);
    void startPeriod();
    void finishProbe();
    void startProbe();
    void probeDeadMember();
    void sendIndirectProbes();
    void expireSuspicions();
    void removeExpiredDead();
    void sendDigests();
    void sendDigest(const Member &member);

    void relayAck(const std::string &from, const wire::PingAck &message);
    void mergeAll(const Updates &updates, bool isDigest);
    void merge(const wire::MemberUpdate &update, bool isDigest);
    void updateMember(Member &member, const HostInfo &host, wire::MemberState state);
    void changeState(Member &member, wire::MemberState state);
    void refute(const wire::MemberUpdate &update);
    void announceSelf();
    void queueDigestOnReturn(const std::string &from, bool wasAbsent);
    void applyHostListEntry(Member &member, const HostListEntry &entry);
    void applyOwnHostListEntry(bool leaving);
    void dropUnlistedCandidates(const std::set<std::string> &listed);

    void sendPing(const Member &member, std::uint64_t sequence);
    void addUpdates(Updates *updates, const Member &recipient, bool withSelf);
    void send(const Member &member, wire::Envelope envelope);
    MembershipActions takeActions();

    HostInfo selfInfo;
    MembershipSettings settings;
    std::mt19937_64 random;
    absl::Time now;
    absl::Time lastTick;
    absl::Time nextPeriod;
    absl::Time nextDigestTime;
    std::uint64_t periodCount = 0;
    std::uint64_t nextSequence = 1;
    bool leaveRequested = false;
    bool leaveFromHostList = false;
    std::optional<bool> selfListedAsLeaving;

    std::map<std::string, Member> peers;
    ProbeOrder liveOrder;
    ProbeOrder deadOrder;
    UpdateQueue queue;
    std::optional<Probe> probe;
    std::map<std::uint64_t, RelayedProbe> relayedProbes;
    std::deque<std::string> digestRecipients;
    MembershipActions actions;
};

} // namespace Bergamotramp
