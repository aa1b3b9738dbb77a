#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/time/time.h>

#include "LimitShares.h"
#include "PeerTable.h"
#include "StatedLimits.h"
#include "UpstreamTable.h"

namespace Bergamotramp {

/**
 * Keeps the requests of this host to upstreams that state a limit within this host's share of it. Learns the limits from answers and
 * from the other hosts, and divides them among the hosts that are known.
 */
class UpstreamLimiter
{
public:
    /** How soon a change of the hosts or the registered upstreams changes the shares. */
    static constexpr absl::Duration membershipCheckPeriod = absl::Milliseconds(200);
    /** Longest time after which a refused caller is told to come back. */
    static constexpr absl::Duration maxRetryAfter = absl::Seconds(5);

    /** @p self is this host as a member. The tables have to outlive the object. */
    UpstreamLimiter(LimitMember self, const UpstreamTable &upstreams, const PeerTable &peers, absl::Time startedAt);

    /** Records what an answer to this host stated, nothing if it named no limit. Returns whether the limit changed. */
    bool recordStatement(const UpstreamInfo &upstream, std::optional<double> requestsPerSecond, absl::Time now);
    /** Records what another host has observed. */
    void merge(const LimitReport &report);
    /** Brings changed limits, hosts and upstreams into force, and forgets old limits. Called many times a second. */
    void tick(absl::Time now);
    /** This host is stopping: the other hosts divide the limits without it. */
    void leave(absl::Time now);

    [[nodiscard]] bool mayStart(const UpstreamInfo &upstream, LimitedClass requestClass, absl::Time now) const;
    void recordStart(const UpstreamInfo &upstream, absl::Time now);
    /** What this host tells the others: recent changes, or everything that it has observed itself. */
    [[nodiscard]] std::vector<LimitReport> reports(bool recentOnly, absl::Time now) const;
    /**
     * When a caller whose request was refused should come back, if limits are the reason: nothing unless all upstreams of the service
     * are limited. Each call takes another place in the order of return.
     */
    [[nodiscard]] std::optional<absl::Duration> reserveReturn(std::string_view service, absl::Time now);
    [[nodiscard]] const LimitShares &currentShares() const;

private:
    [[nodiscard]] std::vector<LimitMember> members(absl::Time now) const;
    void update(absl::Time now);
    /** Requests per second that this host may send to the limited upstreams, or could if it held an average share. */
    [[nodiscard]] double returnRate(const std::vector<const UpstreamInfo *> &limited) const;

    LimitMember self;
    const UpstreamTable &upstreams;
    const PeerTable &peers;
    StatedLimits limits;
    LimitShares shares;
    /** The hosts and upstreams for which the shares were computed. */
    std::vector<LimitMember> knownMembers;
    std::vector<UpstreamInfo> knownUpstreams;
    bool limitsChanged = false;
    absl::Time membershipCheckedAt = absl::InfinitePast();
    absl::Time lastReturn = absl::InfinitePast();
};

} // namespace Bergamotramp
