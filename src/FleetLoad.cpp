#include "FleetLoad.h"

#include "RendezvousHash.h"

namespace Bergamotramp {

std::int64_t RequestCounts::total() const
{
    return this->online + this->batch;
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
    HostLoad &load = this->others[host];
    load.received = now;
    load.batchWaiting = announcement.batchWaiting;
    load.sharesUpstreams = announcement.sharesUpstreams;
    if (announcement.complete) {
        load.uses.clear();
    }
    for (const UpstreamUse &use : announcement.uses) {
        load.uses[use.upstream] = use.counts;
    }
}

RequestCounts FleetLoad::own(std::string_view upstreamId) const
{
    const auto found = this->ownCounts.find(upstreamId);
    return found == this->ownCounts.end() ? RequestCounts{} : found->second;
}

RequestCounts FleetLoad::total(std::string_view upstreamId, absl::Time now) const
{
    RequestCounts sum = this->own(upstreamId);
    const std::uint32_t key = upstreamKey(upstreamId);
    for (const auto &[host, load] : this->others) {
        if (now > load.received + announcementLifetime) {
            continue;
        }
        const auto found = load.uses.find(key);
        if (found != load.uses.end()) {
            sum.online += found->second.online;
            sum.batch += found->second.batch;
        }
    }
    return sum;
}

LoadAnnouncement FleetLoad::nextAnnouncement(bool complete)
{
    LoadAnnouncement announcement{.complete = complete, .uses = {}, .batchWaiting = this->batchWaiting};
    if (complete) {
        for (const auto &[id, counts] : this->ownCounts) {
            announcement.uses.push_back({.upstream = upstreamKey(id), .counts = counts});
        }
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
        if (load.sharesUpstreams && now <= load.received + announcementLifetime) {
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
