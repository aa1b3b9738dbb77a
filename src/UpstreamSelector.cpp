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
// Share of a slot that a batch request takes from the spare slots for online requests, for which it can be preempted.
constexpr double occupiedByBatch = 0.9;
// Part of its slots, and number of them, that an upstream must have free to run a hedge. The hosts that see the same loads may send it
// some requests more before they learn of each other's.
constexpr double minFreeShareForHedge = 0.4;
constexpr std::int64_t minFreeSlotsForHedge = 2;
// Part of all slots of the service nearby that must be free for any hedge.
constexpr double minFreeShareOfServiceForHedge = 0.3;
// Weight of the free slots of other data centres. Their loads are known late, and the traffic to them is charged.
constexpr double farBatchWeight = 0.05;

std::vector<const UpstreamInfo *> withVersion(std::vector<const UpstreamInfo *> upstreams, const UpstreamSelector::VersionFilter &version)
{
    if (version) {
        std::erase_if(upstreams, [&version](const UpstreamInfo *upstream) { return version->empty() || upstream->softwareVersion != *version; });
    }
    return upstreams;
}

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

void UpstreamSelector::setStartFilter(StartFilter filter)
{
    this->mayStart = std::move(filter);
}

bool UpstreamSelector::inOwnRegion(const UpstreamInfo &upstream) const
{
    const auto region = this->location.regionByDataCentre.find(upstream.dataCentre);
    return region != this->location.regionByDataCentre.end() && region->second == this->location.region;
}

double UpstreamSelector::distanceCost(const UpstreamInfo &upstream) const
{
    if (upstream.dataCentre == this->location.dataCentre) {
        return 0.0;
    }
    return (this->inOwnRegion(upstream) ? otherDataCentreCost : otherRegionCost) + costPerSecondOfAge * absl::ToDoubleSeconds(this->farLoadAge);
}

double UpstreamSelector::onlineCost(const UpstreamInfo &upstream, const RequestCounts &counts, absl::Time now) const
{
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

const UpstreamInfo *UpstreamSelector::cheapest(const std::vector<const UpstreamInfo *> &candidates, const EligibilityFunction &isEligible, absl::Time now) const
{
    const UpstreamInfo *best = nullptr;
    double bestCost = std::numeric_limits<double>::infinity();
    for (const UpstreamInfo *upstream : candidates) {
        const RequestCounts counts = this->load.total(upstream->id, now);
        if (!isEligible(*upstream, counts)) {
            continue;
        }
        const double cost = this->onlineCost(*upstream, counts, now);
        if (cost < bestCost) {
            best = upstream;
            bestCost = cost;
        }
    }
    return best;
}

const UpstreamInfo *UpstreamSelector::chooseForOnline(std::string_view service,
                                                      const std::set<std::string> &excluded,
                                                      absl::Time now,
                                                      const VersionFilter &version) const
{
    const std::vector<const UpstreamInfo *> candidates = withVersion(this->table.available(service), version);
    if (this->farLoadAge > absl::ZeroDuration()) {
        const auto spareSlots = [&](const UpstreamInfo &upstream) {
            const bool usable = upstream.dataCentre == this->location.dataCentre && !excluded.contains(upstream.id);
            return usable ? this->spareOnlineSlots(upstream, now) : 0.0;
        };
        if (const UpstreamInfo *drawn = this->drawBySpareSlots(candidates, spareSlots)) {
            return drawn;
        }
    }
    const auto isEligible = [&](const UpstreamInfo &upstream, const RequestCounts &counts) {
        return counts.online < upstream.slots + maxQueuedPerUpstream && !excluded.contains(upstream.id) && this->mayStart(upstream, false, now);
    };
    return this->cheapest(candidates, isEligible, now);
}

// Dozens of hosts see the same loads until the next announcements. If each took the upstream with the lowest load, all requests of
// that time would go to the same one, so they are spread over the upstreams in proportion to their spare slots.
const UpstreamInfo *UpstreamSelector::drawBySpareSlots(const std::vector<const UpstreamInfo *> &candidates, const SpareSlotsFunction &spareSlots) const
{
    struct Option {
        const UpstreamInfo *upstream = nullptr;
        double spare = 0;
    };
    std::vector<Option> options;
    double sum = 0;
    for (const UpstreamInfo *upstream : candidates) {
        if (const double spare = spareSlots(*upstream); spare > 0) {
            options.push_back({.upstream = upstream, .spare = spare});
            sum += spare;
        }
    }
    if (options.empty()) {
        return nullptr;
    }
    const auto draw = [&options, sum, this]() -> const Option & {
        double position = this->randomFraction() * sum;
        for (const Option &option : options) {
            position -= option.spare;
            if (position < 0) {
                return option;
            }
        }
        return options.back();
    };
    const Option &first = draw();
    const Option &second = draw();
    return (second.spare > first.spare ? second : first).upstream;
}

double UpstreamSelector::spareOnlineSlots(const UpstreamInfo &upstream, absl::Time now) const
{
    if (this->health.inBackoff(upstream.id, now) || this->health.recentlyFull(upstream.id, now) || !this->mayStart(upstream, false, now)) {
        return 0;
    }
    const RequestCounts counts = this->load.total(upstream.id, now);
    return static_cast<double>(upstream.slots - counts.online) - occupiedByBatch * static_cast<double>(counts.batch);
}

// An upstream with a stated limit may run a hedge when it may run an item, because items leave a part of the limit to first attempts.
double UpstreamSelector::spareHedgeSlots(const UpstreamInfo &upstream, absl::Time now) const
{
    if (this->health.inBackoff(upstream.id, now) || this->health.recentlyFull(upstream.id, now) || !this->mayStart(upstream, true, now)) {
        return 0;
    }
    const std::int64_t free = upstream.slots - this->load.total(upstream.id, now).total();
    const bool enough = free >= minFreeSlotsForHedge && static_cast<double>(free) >= minFreeShareForHedge * static_cast<double>(upstream.slots);
    return enough ? static_cast<double>(free) : 0;
}

// When most upstreams are full, the next first attempts need the free slots of the others.
bool UpstreamSelector::hasSlotsForHedges(const std::vector<const UpstreamInfo *> &upstreams, absl::Time now) const
{
    std::int64_t slots = 0;
    std::int64_t free = 0;
    for (const UpstreamInfo *upstream : upstreams) {
        slots += upstream->slots;
        free += std::max<std::int64_t>(0, upstream->slots - this->load.total(upstream->id, now).total());
    }
    return static_cast<double>(free) >= minFreeShareOfServiceForHedge * static_cast<double>(slots);
}

const UpstreamInfo *UpstreamSelector::chooseForHedge(std::string_view service,
                                                     const std::set<std::string> &excluded,
                                                     absl::Time now,
                                                     const VersionFilter &version) const
{
    std::vector<const UpstreamInfo *> nearby = this->table.available(service);
    std::erase_if(nearby, [this](const UpstreamInfo *upstream) {
        const bool near = upstream->dataCentre == this->location.dataCentre || (this->farLoadAge == absl::ZeroDuration() && this->inOwnRegion(*upstream));
        return !near;
    });
    if (!this->hasSlotsForHedges(nearby, now)) {
        return nullptr;
    }
    return this->drawBySpareSlots(withVersion(std::move(nearby), version),
                                  [&](const UpstreamInfo &upstream) { return excluded.contains(upstream.id) ? 0.0 : this->spareHedgeSlots(upstream, now); });
}

std::int64_t UpstreamSelector::freeBatchSlots(const UpstreamInfo &upstream, const RequestCounts &counts, absl::Time now) const
{
    if (this->health.inBackoff(upstream.id, now) || this->health.recentlyFull(upstream.id, now) || !this->mayStart(upstream, true, now)) {
        return 0;
    }
    return std::max<std::int64_t>(1, upstream.slots - reservedOnlineSlots) - counts.total();
}

std::int64_t UpstreamSelector::roundRandomly(double share) const
{
    // Rounding is random, so that the sum over hosts with the same view of the load is on average what is available.
    const double whole = std::floor(share);
    return static_cast<std::int64_t>(whole) + (this->randomFraction() < share - whole ? 1 : 0);
}

std::int64_t UpstreamSelector::batchToStart(std::string_view service, absl::Time now) const
{
    std::int64_t freeSlots = 0;
    for (const UpstreamInfo *upstream : this->batchUpstreams(service, BatchScope::Near)) {
        freeSlots += std::max<std::int64_t>(0, this->freeBatchSlots(*upstream, this->load.total(upstream->id, now), now));
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

const UpstreamInfo *UpstreamSelector::chooseForBatch(std::string_view service, BatchScope scope, absl::Time now, const VersionFilter &version) const
{
    const std::vector<const UpstreamInfo *> candidates = withVersion(this->batchUpstreams(service, scope), version);
    if (this->farLoadAge > absl::ZeroDuration()) {
        return this->drawBySpareSlots(candidates, [this, now](const UpstreamInfo &upstream) {
            const auto free = static_cast<double>(this->freeBatchSlots(upstream, this->load.total(upstream.id, now), now));
            return upstream.dataCentre == this->location.dataCentre ? free : free * farBatchWeight;
        });
    }
    return this->cheapest(
        candidates, [this, now](const UpstreamInfo &upstream, const RequestCounts &counts) { return this->freeBatchSlots(upstream, counts, now) > 0; }, now);
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
