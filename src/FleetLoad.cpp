#include "FleetLoad.h"

#include "RendezvousHash.h"

namespace Bergamotramp {

std::int64_t ClassCounts::total() const
{
    return this->online + this->batch;
}

std::uint32_t upstreamKey(std::string_view upstreamId)
{
    return static_cast<std::uint32_t>(stableHash(upstreamId));
}

void FleetLoad::add(const std::string &upstreamId, bool batch)
{
    ClassCounts &counts = this->ownCounts[upstreamId];
    ++(batch ? counts.batch : counts.online);
    ++this->changeCount;
}

void FleetLoad::remove(const std::string &upstreamId, bool batch)
{
    const auto found = this->ownCounts.find(upstreamId);
    if (found == this->ownCounts.end()) {
        return;
    }
    --(batch ? found->second.batch : found->second.online);
    if (found->second == ClassCounts{}) {
        this->ownCounts.erase(found);
    }
    ++this->changeCount;
}

void FleetLoad::announce(const std::string &host, const std::vector<UpstreamUse> &uses, std::int64_t waiting, absl::Time now)
{
    Announcement &announcement = this->others[host];
    announcement.batchWaiting = waiting;
    announcement.received = now;
    announcement.uses.clear();
    for (const UpstreamUse &use : uses) {
        announcement.uses[use.upstream] = use.counts;
    }
}

void FleetLoad::forgetHost(const std::string &host)
{
    this->others.erase(host);
}

ClassCounts FleetLoad::own(std::string_view upstreamId) const
{
    const auto found = this->ownCounts.find(upstreamId);
    return found == this->ownCounts.end() ? ClassCounts{} : found->second;
}

ClassCounts FleetLoad::total(std::string_view upstreamId, absl::Time now) const
{
    ClassCounts sum = this->own(upstreamId);
    const std::uint32_t key = upstreamKey(upstreamId);
    for (const auto &[host, announcement] : this->others) {
        if (now > announcement.received + announcementLifetime) {
            continue;
        }
        const auto found = announcement.uses.find(key);
        if (found != announcement.uses.end()) {
            sum.online += found->second.online;
            sum.batch += found->second.batch;
        }
    }
    return sum;
}

std::vector<UpstreamUse> FleetLoad::announcement() const
{
    std::vector<UpstreamUse> uses;
    for (const auto &[id, counts] : this->ownCounts) {
        uses.push_back({.upstream = upstreamKey(id), .counts = counts});
    }
    return uses;
}

void FleetLoad::setOwnBatchWaiting(std::int64_t items)
{
    this->batchWaiting = items;
}

std::int64_t FleetLoad::ownBatchWaiting() const
{
    return this->batchWaiting;
}

std::int64_t FleetLoad::totalBatchWaiting(absl::Time now) const
{
    std::int64_t sum = this->batchWaiting;
    for (const auto &[host, announcement] : this->others) {
        if (now <= announcement.received + announcementLifetime) {
            sum += announcement.batchWaiting;
        }
    }
    return sum;
}

std::uint64_t FleetLoad::changes() const
{
    return this->changeCount;
}

} // namespace Bergamotramp
