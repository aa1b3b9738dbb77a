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

/** Timings and sizes of Membership. */
struct MembershipSettings {
    /** One member is probed per period. */
    absl::Duration period = absl::Milliseconds(500);
    absl::Duration minSuspicion = absl::Seconds(2);
    /** Suspicion lasts this number of periods times log10(members + 1). */
    double suspicionPeriods = 5;
    std::size_t indirectProbes = 3;
    std::size_t maxPiggyback = 8;
    std::size_t digestPageSize = 32;
    /** One dead member is probed every this many periods. */
    std::uint64_t deadProbePeriods = 5;
    /** Full lists are sent at most once in this many periods. */
    std::int64_t digestPeriods = 4;
    absl::Duration deadRetention = absl::Hours(24);

    bool operator==(const MembershipSettings &) const = default;
};

/** An entry of the platform's host list. The incarnation of @p host is not used. */
struct HostNotice {
    HostInfo host;
    bool leaving = false;

    bool operator==(const HostNotice &) const = default;
};

/** A message to send. The generation is left to the caller. */
struct SendMessage {
    std::string to;
    std::string address;
    wire::Envelope envelope;
};

/** The state, incarnation or address of a member (or of this host) changed. */
struct MemberChanged {
    HostInfo host;
    wire::MemberState state = wire::MEMBER_STATE_ALIVE;

    bool operator==(const MemberChanged &) const = default;
};

/** The open connection to a member may be silent; the next message is to go over a new one. */
struct ReplaceConnection {
    std::string to;
    std::string address;

    bool operator==(const ReplaceConnection &) const = default;
};

using MembershipAction = std::variant<SendMessage, MemberChanged, ReplaceConnection>;
using MembershipActions = std::vector<MembershipAction>;

/**
 * SWIM-style failure detection with suspicion, incarnations and refutation. Soft state only: its views may be wrong.
 *
 * Every event returns the actions to execute in order. tick() is to be called several times a period.
 */
class Membership
{
public:
    using Members = std::vector<std::pair<HostInfo, wire::MemberState>>;

    /** The incarnation of @p self is greater than zero and than that of every earlier run. */
    Membership(HostInfo self, MembershipSettings settings, std::mt19937_64 random, absl::Time now);

    MembershipActions tick(absl::Time now);
    MembershipActions ping(const std::string &from, const wire::Ping &message, absl::Time now);
    MembershipActions ack(const std::string &from, const wire::PingAck &message, absl::Time now);
    MembershipActions pingRequest(const std::string &from, const wire::PingRequest &message, absl::Time now);
    /** Adds candidates and takes leave notices; never removes a member. */
    MembershipActions hostList(const std::vector<HostNotice> &notices, absl::Time now);
    /** Announces that this host is leaving. */
    MembershipActions leave(absl::Time now);

    /** This host and all members heard of, sorted by name. */
    [[nodiscard]] Members members() const;
    [[nodiscard]] const HostInfo &self() const;
    [[nodiscard]] bool isLeaving() const;
    /** Nothing for a member never heard of. */
    [[nodiscard]] std::optional<MemberClaim> claim(const std::string &name) const;
    /** Peer address of a member, empty when unknown. */
    [[nodiscard]] std::string addressOf(const std::string &name) const;

private:
    struct Member {
        HostInfo host;
        wire::MemberState state = wire::MEMBER_STATE_DEAD;
        absl::Time since;
        absl::Time suspicionEnds = absl::InfiniteFuture();
        /** The incarnation of this host that the member is known to have received. */
        std::uint64_t confirmedSelf = 0;
        /** Learned as dead from a digest; not passed on in digests, so that forgotten members don't return. */
        bool secondHand = false;
        std::optional<bool> listedLeaving;
    };
    struct Probe {
        std::string target;
        std::uint64_t sequence = 0;
        absl::Time directDeadline;
        std::uint64_t selfIncarnation = 0;
        bool indirectSent = false;
        bool acked = false;
        bool directlyAcked = false;
    };
    struct Relay {
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

    void skipGap(absl::Duration gap);
    void startPeriod();
    void finishProbe();
    void startProbe();
    void probeDead();
    void sendIndirectProbes();
    void expireSuspicions();
    void forgetOldDead();
    void sendDigests();
    void sendDigest(const Member &member);

    void relayAck(const std::string &from, const wire::PingAck &message);
    void mergeAll(const Updates &updates, bool digest);
    void merge(const wire::MemberUpdate &update, bool digest);
    void adopt(Member &member, const HostInfo &host, wire::MemberState state);
    void changeState(Member &member, wire::MemberState state);
    void refute(const wire::MemberUpdate &update);
    void announceSelf();
    void noteContact(const std::string &from, bool wasAbsent);
    void noteListed(Member &member, const HostNotice &notice);
    void noteSelfListed(bool leaving);
    void dropUnlistedCandidates(const std::set<std::string> &listed);

    void sendPing(const Member &member, std::uint64_t sequence);
    void addUpdates(Updates *updates, const Member &recipient, bool withSelf);
    void send(const Member &member, wire::Envelope envelope);
    MembershipActions finish();

    HostInfo selfInfo;
    MembershipSettings settings;
    std::mt19937_64 random;
    absl::Time now;
    absl::Time lastTick;
    absl::Time nextPeriod;
    absl::Time nextDigest;
    std::uint64_t periods = 0;
    std::uint64_t nextSequence = 1;
    bool leaveAnnounced = false;
    bool leaveListed = false;
    std::optional<bool> listedSelfLeaving;

    std::map<std::string, Member> peers;
    ProbeOrder liveOrder;
    ProbeOrder deadOrder;
    UpdateQueue queue;
    std::optional<Probe> probe;
    std::map<std::uint64_t, Relay> relays;
    std::deque<std::string> digestsDue;
    MembershipActions actions;
};

} // namespace Bergamotramp
