#include "FleetLoad.h"

#include <algorithm>

#include "RendezvousHash.h"

namespace Bergamotramp {

std::int64_t RequestCounts::total() const
{
    return this->online + this->batch;
}

RequestCounts &RequestCounts::operator+=(const RequestCounts &other)
{
    this->online += other.online;
    this->batch += other.batch;
    return *this;
}

RequestCounts &RequestCounts::operator-=(const RequestCounts &other)
{
    this->online -= other.online;
    this->batch -= other.batch;
    return *this;
}

std::uint32_t upstreamKey(std::string_view upstreamId)
{
    return static_cast<std::uint32_t>(stableHash(upstreamId));
}

void FleetLoad::addRequest(const std::string &upstreamId, bool batch)
{
    RequestCounts &counts = this->ownCounts[upstreamId];
    ++(batch ? counts.batch : counts.online);
    this->changedUpstreams.insert(upstreamId);
}

void FleetLoad::removeRequest(const std::string &upstreamId, bool batch)
{
    const auto found = this->ownCounts.find(upstreamId);
    if (found == this->ownCounts.end()) {
        return;
    }
    --(batch ? found->second.batch : found->second.online);
    if (found->second == RequestCounts{}) {
        this->ownCounts.erase(found);
    }
    this->changedUpstreams.insert(upstreamId);
}

void FleetLoad::applyAnnouncement(const std::string &host, const LoadAnnouncement &announcement, absl::Time now)
{
    this->expire(now);
    HostLoad &load = this->others[host];
    load.expiry = now + announcement.lifetime;
    this->nextExpiry = std::min(this->nextExpiry, load.expiry);
    load.batchWaiting = announcement.batchWaiting;
    load.sharesUpstreams = announcement.sharesUpstreams;
    if (announcement.complete) {
        this->removeUses(load);
        load.uses.clear();
    }
    for (const UpstreamUse &use : announcement.uses) {
        RequestCounts &counts = load.uses[use.upstream];
        this->addToSum(use.upstream, use.counts, counts);
        counts = use.counts;
    }
}

void FleetLoad::removeUses(const HostLoad &host)
{
    for (const auto &[upstream, counts] : host.uses) {
        this->addToSum(upstream, {}, counts);
    }
}

void FleetLoad::addToSum(std::uint32_t upstream, const RequestCounts &added, const RequestCounts &removed)
{
    RequestCounts &sum = this->sums[upstream];
    sum += added;
    sum -= removed;
    if (sum == RequestCounts{}) {
        this->sums.erase(upstream);
    }
}

void FleetLoad::expire(absl::Time now)
{
    if (!this->sumsOutdated(now)) {
        return;
    }
    this->nextExpiry = absl::InfiniteFuture();
    std::erase_if(this->others, [this, now](const auto &entry) {
        if (now > entry.second.expiry) {
            this->removeUses(entry.second);
            return true;
        }
        this->nextExpiry = std::min(this->nextExpiry, entry.second.expiry);
        return false;
    });
}

bool FleetLoad::sumsOutdated(absl::Time now) const
{
    return now > this->nextExpiry;
}

RequestCounts FleetLoad::own(std::string_view upstreamId) const
{
    const auto found = this->ownCounts.find(upstreamId);
    return found == this->ownCounts.end() ? RequestCounts{} : found->second;
}

RequestCounts FleetLoad::total(std::string_view upstreamId, absl::Time now) const
{
    const std::uint32_t key = upstreamKey(upstreamId);
    RequestCounts total = this->own(upstreamId);
    const auto sum = this->sums.find(key);
    if (sum == this->sums.end()) {
        return total;
    }
    total += sum->second;
    if (this->sumsOutdated(now)) {
        for (const auto &[host, load] : this->others) {
            const auto use = load.uses.find(key);
            if (now > load.expiry && use != load.uses.end()) {
                total -= use->second;
            }
        }
    }
    return total;
}

LoadAnnouncement FleetLoad::completeAnnouncement() const
{
    LoadAnnouncement announcement{.complete = true, .uses = {}, .batchWaiting = this->batchWaiting};
    for (const auto &[id, counts] : this->ownCounts) {
        announcement.uses.push_back({.upstream = upstreamKey(id), .counts = counts});
    }
    return announcement;
}

LoadAnnouncement FleetLoad::nextAnnouncement(bool complete)
{
    LoadAnnouncement announcement{.complete = false, .uses = {}, .batchWaiting = this->batchWaiting};
    if (complete) {
        announcement = this->completeAnnouncement();
    } else {
        for (const std::string &id : this->changedUpstreams) {
            announcement.uses.push_back({.upstream = upstreamKey(id), .counts = this->own(id)});
        }
    }
    this->changedUpstreams.clear();
    return announcement;
}

void FleetLoad::setOwnBatchWaiting(std::int64_t items)
{
    this->batchWaiting = items;
}

std::int64_t FleetLoad::ownBatchWaiting() const
{
    return this->batchWaiting;
}

std::int64_t FleetLoad::sharedBatchWaiting(absl::Time now) const
{
    std::int64_t sum = this->batchWaiting;
    for (const auto &[host, load] : this->others) {
        if (load.sharesUpstreams && now <= load.expiry) {
            sum += load.batchWaiting;
        }
    }
    return sum;
}

bool FleetLoad::hasChanges() const
{
    return !this->changedUpstreams.empty();
}

} // namespace Bergamotramp
