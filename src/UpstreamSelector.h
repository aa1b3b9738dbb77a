#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "FleetLoad.h"
#include "UpstreamHealth.h"
#include "UpstreamTable.h"

namespace Bergamotramp {

/** Location of this host, and the region of each data centre. */
struct HostLocation {
    std::string dataCentre;
    std::string region;
    std::map<std::string, std::string> regionByDataCentre;

    bool operator==(const HostLocation &) const = default;
};

/**
 * Which upstreams batch requests may use. Near upstreams are those in the data centre of this host. All upstreams count as
 * near in a small fleet (see setFarLoadAge()), and if this data centre has none.
 */
enum class BatchScope {
    Near,
    All,
};

/** For an EntryHost, selects the upstream of a request by its load from all hosts, its health and its distance from this host. */
class UpstreamSelector
{
public:
    /** @p randomFraction returns a uniformly distributed random number from 0 to 1. */
    UpstreamSelector(
        const UpstreamTable &table, const FleetLoad &load, const UpstreamHealth &health, HostLocation location, std::function<double()> randomFraction);

    /**
     * Sets how old the load that hosts in other data centres announced may be. Zero means a small fleet, in which all hosts are near.
     * The older it is, the higher is the cost of upstreams in other data centres.
     */
    void setFarLoadAge(absl::Duration age);
    /** Whether a request, of batch work or online, may be sent to an upstream now. */
    using StartFilter = std::function<bool(const UpstreamInfo &, bool batch, absl::Time now)>;
    /** Chooses only upstreams that @p filter accepts. */
    void setStartFilter(StartFilter filter);
    /** A software version that an upstream must have; any if there is none. */
    using VersionFilter = std::optional<std::string>;
    /** The upstream with the lowest cost for an online request, or null when none has room. Never one in @p excluded. */
    [[nodiscard]] const UpstreamInfo *chooseForOnline(std::string_view service,
                                                      const std::set<std::string> &excluded,
                                                      absl::Time now,
                                                      const VersionFilter &version = {}) const;
    /**
     * An upstream with clearly more free slots than first attempts are about to need, for a second attempt beside a running one, or null.
     * Batch requests count as occupied slots, and upstreams of other regions are left out, in large fleets those of other data centres, too.
     */
    [[nodiscard]] const UpstreamInfo *chooseForHedge(std::string_view service,
                                                     const std::set<std::string> &excluded,
                                                     absl::Time now,
                                                     const VersionFilter &version = {}) const;
    /** An upstream with a free slot besides those reserved for online requests, or null. */
    [[nodiscard]] const UpstreamInfo *chooseForBatch(std::string_view service, BatchScope scope, absl::Time now, const VersionFilter &version = {}) const;
    /**
     * Number of batch requests that this host may start now. Its share of the free batch slots of a service is its share of
     * the batch requests that wait at the hosts which share these upstreams.
     */
    [[nodiscard]] std::int64_t batchToStart(std::string_view service, absl::Time now) const;
    /** Number of this host's batch requests to cancel at an upstream with more requests than slots: its share of the excess. */
    [[nodiscard]] std::int64_t batchToPreempt(const UpstreamInfo &upstream, absl::Time now) const;

private:
    using EligibilityFunction = std::function<bool(const UpstreamInfo &, const RequestCounts &)>;
    using SpareSlotsFunction = std::function<double(const UpstreamInfo &)>;

    /** The candidate with the lowest cost among those that @p isEligible accepts, or null. */
    [[nodiscard]] const UpstreamInfo *cheapest(const std::vector<const UpstreamInfo *> &candidates,
                                               const EligibilityFunction &isEligible,
                                               absl::Time now) const;
    /**
     * For large fleets: of two candidates that are drawn in proportion to their spare slots, the one with more of them; null when none
     * has a spare slot.
     */
    [[nodiscard]] const UpstreamInfo *drawBySpareSlots(const std::vector<const UpstreamInfo *> &candidates, const SpareSlotsFunction &spareSlots) const;
    [[nodiscard]] double spareOnlineSlots(const UpstreamInfo &upstream, absl::Time now) const;
    [[nodiscard]] std::vector<const UpstreamInfo *> batchUpstreams(std::string_view service, BatchScope scope) const;
    [[nodiscard]] std::int64_t roundRandomly(double share) const;
    [[nodiscard]] std::int64_t freeBatchSlots(const UpstreamInfo &upstream, const RequestCounts &counts, absl::Time now) const;
    [[nodiscard]] bool inOwnRegion(const UpstreamInfo &upstream) const;
    /** The free slots of an upstream that has enough of them for a hedge, otherwise 0. */
    [[nodiscard]] double spareHedgeSlots(const UpstreamInfo &upstream, absl::Time now) const;
    /** Whether enough of the slots of all @p upstreams together are free for hedges. */
    [[nodiscard]] bool hasSlotsForHedges(const std::vector<const UpstreamInfo *> &upstreams, absl::Time now) const;
    [[nodiscard]] double distanceCost(const UpstreamInfo &upstream) const;
    [[nodiscard]] double onlineCost(const UpstreamInfo &upstream, const RequestCounts &counts, absl::Time now) const;

    const UpstreamTable &table;
    const FleetLoad &load;
    const UpstreamHealth &health;
    HostLocation location;
    std::function<double()> randomFraction;
    StartFilter mayStart = [](const UpstreamInfo &, bool, absl::Time) { return true; };
    absl::Duration farLoadAge = absl::ZeroDuration();
};

} // namespace Bergamotramp
