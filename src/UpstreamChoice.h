#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "FleetLoad.h"
#include "UpstreamHealth.h"
#include "UpstreamTable.h"

namespace Bergamotramp {

/** The place of this host, and the region of each data centre. */
struct HostPlace {
    std::string dataCentre;
    std::string region;
    std::map<std::string, std::string> regions;

    bool operator==(const HostPlace &) const = default;
};

/** Where batch requests may run. In a small fleet all upstreams are near. */
enum class BatchReach {
    Near,
    All,
};

/** Chooses the upstream of a request by the load of the whole fleet, the upstream's health and the distance. */
class UpstreamChoice
{
public:
    /** @p draw returns a number evenly drawn from 0 to 1. */
    UpstreamChoice(const UpstreamTable &table, const FleetLoad &load, const UpstreamHealth &health, HostPlace place, std::function<double()> draw);

    /** Tells how old the known loads of other data centres are; old ones count for less than near upstreams' loads. */
    void setFarLoadAge(absl::Duration age);
    /** The best upstream for an online request, or null when none can take it. Never one in @p excluded. */
    [[nodiscard]] const UpstreamInfo *forOnline(std::string_view service, const std::set<std::string> &excluded, absl::Time now) const;
    /** An upstream with room that online requests do not need, or null. */
    [[nodiscard]] const UpstreamInfo *forBatch(std::string_view service, BatchReach reach, absl::Time now) const;
    /** Batch requests that this host may start now: its share of the free room of the services that wait for it. */
    [[nodiscard]] std::int64_t batchToStart(const std::set<std::string> &services, absl::Time now) const;
    /** Batch requests that this host should take away from an upstream, because more is there than it can run. */
    [[nodiscard]] std::int64_t batchToYield(const UpstreamInfo &upstream, absl::Time now) const;

private:
    /** The candidate of the least cost among those that @p admits takes, or null. */
    [[nodiscard]] const UpstreamInfo *cheapest(const std::vector<const UpstreamInfo *> &candidates,
                                               const std::function<bool(const UpstreamInfo &)> &admits,
                                               absl::Time now) const;
    [[nodiscard]] std::vector<const UpstreamInfo *> batchUpstreams(std::string_view service, BatchReach reach) const;
    [[nodiscard]] std::int64_t drawnShare(double share) const;
    [[nodiscard]] std::int64_t batchRoom(const UpstreamInfo &upstream, absl::Time now) const;
    [[nodiscard]] double distance(const UpstreamInfo &upstream) const;
    [[nodiscard]] double onlineCost(const UpstreamInfo &upstream, absl::Time now) const;

    const UpstreamTable &table;
    const FleetLoad &load;
    const UpstreamHealth &health;
    HostPlace place;
    std::function<double()> draw;
    absl::Duration farLoadAge = absl::ZeroDuration();
};

} // namespace Bergamotramp
