#include "UpstreamSelector.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>

namespace Bergamotramp {

namespace {

// Costs are in units of an upstream's full load: 1 is the difference between an idle and a full upstream.
// A preempted batch request frees its slot within a few milliseconds, an online request only when it ends.
constexpr double preemptionCost = 0.5;
constexpr double queuedCost = 1.5;
// Between regions a round trip adds 24 ms and bandwidth is low. Between data centres of a region only the traffic is charged.
constexpr double otherDataCentreCost = 0.04;
constexpr double otherRegionCost = 0.2;
// Each second since a load was announced adds this cost, because the load may have grown.
constexpr double costPerSecondOfAge = 1.5;
// Upper bound of a random cost. It makes hosts that see the same loads at the same time choose different upstreams.
constexpr double maxRandomCost = 0.1;
constexpr double backoffCost = 100.0;
constexpr double recentlyFullCost = 3.0;
// Online requests beyond its slots that an upstream may be sent. It refuses those that its queue has no room for.
constexpr std::int64_t maxQueuedPerUpstream = 16;
// Slots of each upstream that batch requests leave free for online requests that arrive before batch requests can be preempted.
constexpr std::int64_t reservedOnlineSlots = 1;

} // namespace

UpstreamSelector::UpstreamSelector(
    const UpstreamTable &table, const FleetLoad &load, const UpstreamHealth &health, HostLocation location, std::function<double()> randomFraction)
    : table(table), load(load), health(health), location(std::move(location)), randomFraction(std::move(randomFraction))
{
}

void UpstreamSelector::setFarLoadAge(absl::Duration age)
{
    this->farLoadAge = age;
}

double UpstreamSelector::distanceCost(const UpstreamInfo &upstream) const
{
    if (upstream.dataCentre == this->location.dataCentre) {
        return 0.0;
    }
    const auto region = this->location.regionByDataCentre.find(upstream.dataCentre);
    const bool sameRegion = region != this->location.regionByDataCentre.end() && region->second == this->location.region;
    return (sameRegion ? otherDataCentreCost : otherRegionCost) + costPerSecondOfAge * absl::ToDoubleSeconds(this->farLoadAge);
}

double UpstreamSelector::onlineCost(const UpstreamInfo &upstream, absl::Time now) const
{
    const RequestCounts counts = this->load.total(upstream.id, now);
    const auto slots = static_cast<double>(std::max<std::int64_t>(1, upstream.slots));
    double cost = static_cast<double>(counts.total()) / slots;
    if (counts.online >= upstream.slots) {
        cost += queuedCost * static_cast<double>(counts.online + 1 - upstream.slots);
    } else if (counts.total() >= upstream.slots) {
        cost += preemptionCost;
    }
    if (this->health.inBackoff(upstream.id, now)) {
        cost += backoffCost;
    }
    if (this->health.recentlyFull(upstream.id, now)) {
        cost += recentlyFullCost;
    }
    return cost + this->distanceCost(upstream) + this->randomFraction() * maxRandomCost;
}

const UpstreamInfo *UpstreamSelector::cheapest(const std::vector<const UpstreamInfo *> &candidates,
                                               const std::function<bool(const UpstreamInfo &)> &isEligible,
                                               absl::Time now) const
{
    const UpstreamInfo *best = nullptr;
    double bestCost = std::numeric_limits<double>::infinity();
    for (const UpstreamInfo *upstream : candidates) {
        if (!isEligible(*upstream)) {
            continue;
        }
        const double cost = this->onlineCost(*upstream, now);
        if (cost < bestCost) {
            best = upstream;
            bestCost = cost;
        }
    }
    return best;
}

const UpstreamInfo *UpstreamSelector::chooseForOnline(std::string_view service, const std::set<std::string> &excluded, absl::Time now) const
{
    const auto isEligible = [&](const UpstreamInfo &upstream) {
        return !excluded.contains(upstream.id) && this->load.total(upstream.id, now).online < upstream.slots + maxQueuedPerUpstream;
    };
    return this->cheapest(this->table.available(service), isEligible, now);
}

std::int64_t UpstreamSelector::freeBatchSlots(const UpstreamInfo &upstream, absl::Time now) const
{
    if (this->health.inBackoff(upstream.id, now) || this->health.recentlyFull(upstream.id, now)) {
        return 0;
    }
    return std::max<std::int64_t>(1, upstream.slots - reservedOnlineSlots) - this->load.total(upstream.id, now).total();
}

std::int64_t UpstreamSelector::roundRandomly(double share) const
{
    // Rounding is random, so that the sum over hosts with the same view of the load is on average what is available.
    const double whole = std::floor(share);
    return static_cast<std::int64_t>(whole) + (this->randomFraction() < share - whole ? 1 : 0);
}

std::int64_t UpstreamSelector::batchToStart(const std::set<std::string> &services, absl::Time now) const
{
    std::int64_t freeSlots = 0;
    for (const std::string &service : services) {
        for (const UpstreamInfo *upstream : this->batchUpstreams(service, BatchScope::Near)) {
            freeSlots += std::max<std::int64_t>(0, this->freeBatchSlots(*upstream, now));
        }
    }
    const std::int64_t waiting = std::max<std::int64_t>(1, this->load.sharedBatchWaiting(now));
    const double share = static_cast<double>(freeSlots) * static_cast<double>(this->load.ownBatchWaiting()) / static_cast<double>(waiting);
    return this->roundRandomly(share);
}

std::vector<const UpstreamInfo *> UpstreamSelector::batchUpstreams(std::string_view service, BatchScope scope) const
{
    std::vector<const UpstreamInfo *> all = this->table.available(service);
    if (scope == BatchScope::All || this->farLoadAge == absl::ZeroDuration()) {
        return all;
    }
    // A host learns late that online requests need the slots of its batch requests in another data centre.
    std::vector<const UpstreamInfo *> nearby;
    std::ranges::copy_if(all, std::back_inserter(nearby), [this](const UpstreamInfo *upstream) { return upstream->dataCentre == this->location.dataCentre; });
    return nearby.empty() ? all : nearby;
}

const UpstreamInfo *UpstreamSelector::chooseForBatch(std::string_view service, BatchScope scope, absl::Time now) const
{
    return this->cheapest(
        this->batchUpstreams(service, scope), [&](const UpstreamInfo &upstream) { return this->freeBatchSlots(upstream, now) > 0; }, now);
}

std::int64_t UpstreamSelector::batchToPreempt(const UpstreamInfo &upstream, absl::Time now) const
{
    const RequestCounts ownCounts = this->load.own(upstream.id);
    const RequestCounts fleetCounts = this->load.total(upstream.id, now);
    const std::int64_t excess = fleetCounts.total() - upstream.slots;
    if (ownCounts.batch == 0 || excess <= 0) {
        return 0;
    }
    // Each host with batch requests at the upstream cancels its share, so that together they free the slots that are missing.
    const double share = static_cast<double>(excess) * static_cast<double>(ownCounts.batch) / static_cast<double>(fleetCounts.batch);
    return std::min(ownCounts.batch, this->roundRandomly(share));
}

} // namespace Bergamotramp
