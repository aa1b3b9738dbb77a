#include "UpstreamHealth.h"

#include <algorithm>

namespace Bergamotramp {

namespace {

// Long enough for a running request to end, short enough that a slot that becomes free is soon used.
constexpr absl::Duration fullPeriod = absl::Milliseconds(60);

} // namespace

void UpstreamHealth::recordActivity(const std::string &upstreamId, absl::Time now)
{
    Record &record = this->records[upstreamId];
    record.lastActivity = now;
    record.backoffUntil = absl::InfinitePast();
    record.nextBackoff = initialBackoff;
}

void UpstreamHealth::recordFailure(const std::string &upstreamId, absl::Time now)
{
    Record &record = this->records[upstreamId];
    if (now < record.backoffUntil) {
        return;
    }
    record.backoffUntil = now + record.nextBackoff;
    record.nextBackoff = std::min(maxBackoff, record.nextBackoff * 2);
}

void UpstreamHealth::recordFull(const std::string &upstreamId, absl::Time now)
{
    this->records[upstreamId].fullUntil = now + fullPeriod;
}

void UpstreamHealth::remove(const std::string &upstreamId)
{
    this->records.erase(upstreamId);
}

const UpstreamHealth::Record *UpstreamHealth::find(std::string_view upstreamId) const
{
    const auto found = this->records.find(std::string(upstreamId));
    return found == this->records.end() ? nullptr : &found->second;
}

absl::Time UpstreamHealth::lastActivity(std::string_view upstreamId) const
{
    const Record *record = this->find(upstreamId);
    return record == nullptr ? absl::InfinitePast() : record->lastActivity;
}

bool UpstreamHealth::inBackoff(std::string_view upstreamId, absl::Time now) const
{
    const Record *record = this->find(upstreamId);
    return record != nullptr && now < record->backoffUntil;
}

bool UpstreamHealth::recentlyFull(std::string_view upstreamId, absl::Time now) const
{
    const Record *record = this->find(upstreamId);
    return record != nullptr && now < record->fullUntil;
}

} // namespace Bergamotramp
