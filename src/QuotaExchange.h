#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "EntryMetrics.h"
#include "EventLoop.h"
#include "JsonLog.h"
#include "OrganisationQuotas.h"
#include "PeerTable.h"
#include "peer.pb.h"

namespace Bergamotramp {

/** Keeps the quotas of organisations together with the other hosts: sends their queries and grants as datagrams. */
class QuotaExchange
{
public:
    /** How soon a change of the hosts changes the shares of quotas. */
    static constexpr absl::Duration membershipCheckPeriod = absl::Milliseconds(50);
    /** A host that has fallen silent counts as cut off, and its part of the quotas is not granted, for this long. */
    static constexpr absl::Duration silentHostRetention = absl::Minutes(5);
    /** How often refusals of one organisation are logged at most. */
    static constexpr absl::Duration refusalLogInterval = absl::Seconds(5);

    struct Hooks {
        /** Sends a message to one host. */
        std::function<void(const Peer &, const std::function<void(peer::HostState &)> &fill)> send;
        /** Whether the addresses of other hosts are known, whether or not these have answered. */
        std::function<bool()> expectsOthers;
        /** Longest time for which a datagram may wait at a host before it is read. */
        std::function<absl::Duration()> receiveDelay;
    };
    using Handler = OrganisationQuotas::Handler;

    QuotaExchange(EventLoop &loop, LimitMember self, const PeerTable &peers, JsonLog &log, EntryMetrics &metrics, std::uint64_t firstQuery, Hooks hooks);

    /** Puts the quotas of the configuration in force. */
    void setOrganisations(const std::vector<Organisation> &organisations);
    /** Decides on a request of an organisation; see OrganisationQuotas::admit(). */
    void admit(const std::string &organisation, Handler done);
    void giveBack(const std::string &organisation, const QuotaDecision &decision);
    /** Applies what another host has sent. */
    void receive(const Peer &sender, const peer::HostState &message);
    /** Brings changed hosts into force. Called many times a second. */
    void tick();
    /** This host is stopping: the other hosts divide the quotas without it. */
    void leave();
    /** Sets the counts of queries and tokens in the metrics. */
    void updateMetrics();

private:
    struct Silent {
        LimitMember member;
        absl::Time since;
    };

    void schedule();
    [[nodiscard]] std::vector<LimitMember> members(absl::Time now);
    template <typename Message, typename Fill>
    void sendTo(const std::string &host, const Message &message, Fill fill);
    void recordRefusal(const std::string &organisation, absl::Duration retryAfter);

    EventLoop &loop;
    LimitMember self;
    const PeerTable &peers;
    JsonLog &log;
    EntryMetrics &metrics;
    Hooks hooks;
    OrganisationQuotas quotas;
    /** The hosts of the last check that were in the table of peers and not leaving. */
    std::map<std::string, LimitMember> lastMembers;
    /** Hosts that the table of peers has forgotten. */
    std::map<std::string, Silent> silentHosts;
    std::map<std::string, absl::Time> refusalLoggedAt;
    absl::Time membersCheckedAt = absl::InfinitePast();
    LoopTimer timer;
};

} // namespace Bergamotramp
