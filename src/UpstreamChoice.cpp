#include "UpstreamChoice.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>

namespace Bergamotramp {

namespace {

// Costs are in units of a whole upstream's load: 1 is the difference between an idle and a full one.
// A batch request gives its slot back within a few milliseconds, another online request only when it has ended.
constexpr double preemptionCost = 0.5;
constexpr double queuedCost = 1.5;
// Between regions a round trip adds 24 ms and the link is narrow; between data centres only bytes are charged.
constexpr double otherDataCentreCost = 0.04;
constexpr double otherRegionCost = 0.2;
// A load may have grown by this much in each second since it was announced.
constexpr double costPerSecondOfAge = 1.5;
// Spreads the hosts that see the same loads at the same time.
constexpr double drawnCost = 0.1;
constexpr double pausedCost = 100.0;
constexpr double fullCost = 3.0;
// Requests beyond the slots that an upstream may be sent; it refuses more than it can queue.
constexpr std::int64_t maxQueuedPerUpstream = 16;
// Slots that batch leaves free at each upstream for the online requests that arrive before batch can yield.
constexpr std::int64_t batchReserve = 1;

} // namespace

UpstreamChoice::UpstreamChoice(const UpstreamTable &table, const FleetLoad &load, const UpstreamHealth &health, HostPlace place, std::function<double()> draw)
    : table(table), load(load), health(health), place(std::move(place)), draw(std::move(draw))
{
}

void UpstreamChoice::setFarLoadAge(absl::Duration age)
{
    this->farLoadAge = age;
}

double UpstreamChoice::distance(const UpstreamInfo &upstream) const
{
    if (upstream.dataCentre == this->place.dataCentre) {
        return 0.0;
    }
    const auto region = this->place.regions.find(upstream.dataCentre);
    const bool sameRegion = region != this->place.regions.end() && region->second == this->place.region;
    return (sameRegion ? otherDataCentreCost : otherRegionCost) + costPerSecondOfAge * absl::ToDoubleSeconds(this->farLoadAge);
}

double UpstreamChoice::onlineCost(const UpstreamInfo &upstream, absl::Time now) const
{
    const ClassCounts counts = this->load.total(upstream.id, now);
    const auto slots = static_cast<double>(std::max<std::int64_t>(1, upstream.slots));
    double cost = static_cast<double>(counts.total()) / slots;
    if (counts.online >= upstream.slots) {
        cost += queuedCost * static_cast<double>(counts.online + 1 - upstream.slots);
    } else if (counts.total() >= upstream.slots) {
        cost += preemptionCost;
    }
    if (this->health.paused(upstream.id, now)) {
        cost += pausedCost;
    }
    if (this->health.recentlyFull(upstream.id, now)) {
        cost += fullCost;
    }
    return cost + this->distance(upstream) + this->draw() * drawnCost;
}

const UpstreamInfo *UpstreamChoice::cheapest(const std::vector<const UpstreamInfo *> &candidates,
                                             const std::function<bool(const UpstreamInfo &)> &admits,
                                             absl::Time now) const
{
    const UpstreamInfo *best = nullptr;
    double bestCost = std::numeric_limits<double>::infinity();
    for (const UpstreamInfo *upstream : candidates) {
        if (!admits(*upstream)) {
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

const UpstreamInfo *UpstreamChoice::forOnline(std::string_view service, const std::set<std::string> &excluded, absl::Time now) const
{
    const auto admits = [&](const UpstreamInfo &upstream) {
        return !excluded.contains(upstream.id) && this->load.total(upstream.id, now).online < upstream.slots + maxQueuedPerUpstream;
    };
    return this->cheapest(this->table.available(service), admits, now);
}

std::int64_t UpstreamChoice::batchRoom(const UpstreamInfo &upstream, absl::Time now) const
{
    if (this->health.paused(upstream.id, now) || this->health.recentlyFull(upstream.id, now)) {
        return 0;
    }
    return std::max<std::int64_t>(1, upstream.slots - batchReserve) - this->load.total(upstream.id, now).total();
}

std::int64_t UpstreamChoice::drawnShare(double share) const
{
    // Rounded at random, so that hosts with the same view together take what there is, no more and no less.
    const double whole = std::floor(share);
    return static_cast<std::int64_t>(whole) + (this->draw() < share - whole ? 1 : 0);
}

std::int64_t UpstreamChoice::batchToStart(const std::set<std::string> &services, absl::Time now) const
{
    std::int64_t room = 0;
    for (const std::string &service : services) {
        for (const UpstreamInfo *upstream : this->batchUpstreams(service, BatchReach::Near)) {
            room += std::max<std::int64_t>(0, this->batchRoom(*upstream, now));
        }
    }
    const std::int64_t all = std::max<std::int64_t>(1, this->load.nearBatchWaiting(now));
    const double share = static_cast<double>(room) * static_cast<double>(this->load.ownBatchWaiting()) / static_cast<double>(all);
    return this->drawnShare(share);
}

std::vector<const UpstreamInfo *> UpstreamChoice::batchUpstreams(std::string_view service, BatchReach reach) const
{
    std::vector<const UpstreamInfo *> all = this->table.available(service);
    if (reach == BatchReach::All || this->farLoadAge == absl::ZeroDuration()) {
        return all;
    }
    // Hosts elsewhere would hear late that their batch requests are in the way.
    std::vector<const UpstreamInfo *> near;
    std::ranges::copy_if(all, std::back_inserter(near), [this](const UpstreamInfo *upstream) { return upstream->dataCentre == this->place.dataCentre; });
    return near.empty() ? all : near;
}

const UpstreamInfo *UpstreamChoice::forBatch(std::string_view service, BatchReach reach, absl::Time now) const
{
    return this->cheapest(
        this->batchUpstreams(service, reach), [&](const UpstreamInfo &upstream) { return this->batchRoom(upstream, now) > 0; }, now);
}

std::int64_t UpstreamChoice::batchToYield(const UpstreamInfo &upstream, absl::Time now) const
{
    const ClassCounts own = this->load.own(upstream.id);
    const ClassCounts all = this->load.total(upstream.id, now);
    const std::int64_t excess = all.total() - upstream.slots;
    if (own.batch == 0 || excess <= 0) {
        return 0;
    }
    // Each host with batch requests there takes its share, so that together they make the room that is missing.
    const double share = static_cast<double>(excess) * static_cast<double>(own.batch) / static_cast<double>(all.batch);
    return std::min(own.batch, this->drawnShare(share));
}

} // namespace Bergamotramp
