#include "UpstreamHealth.h"

#include <algorithm>

namespace Bergamotramp {

namespace {

// Long enough for a request to end, short enough that a slot that came free is used.
constexpr absl::Duration fullPause = absl::Milliseconds(60);

} // namespace

void UpstreamHealth::heard(const std::string &upstreamId, absl::Time now)
{
    Record &record = this->records[upstreamId];
    record.lastHeard = now;
    record.pausedUntil = absl::InfinitePast();
    record.pause = firstPause;
}

void UpstreamHealth::failed(const std::string &upstreamId, absl::Time now)
{
    Record &record = this->records[upstreamId];
    if (now < record.pausedUntil) {
        return;
    }
    record.pausedUntil = now + record.pause;
    record.pause = std::min(maxPause, record.pause * 2);
}

void UpstreamHealth::full(const std::string &upstreamId, absl::Time now)
{
    this->records[upstreamId].fullUntil = now + fullPause;
}

void UpstreamHealth::forget(const std::string &upstreamId)
{
    this->records.erase(upstreamId);
}

const UpstreamHealth::Record *UpstreamHealth::find(std::string_view upstreamId) const
{
    const auto found = this->records.find(std::string(upstreamId));
    return found == this->records.end() ? nullptr : &found->second;
}

absl::Time UpstreamHealth::lastHeard(std::string_view upstreamId) const
{
    const Record *record = this->find(upstreamId);
    return record == nullptr ? absl::InfinitePast() : record->lastHeard;
}

bool UpstreamHealth::paused(std::string_view upstreamId, absl::Time now) const
{
    const Record *record = this->find(upstreamId);
    return record != nullptr && now < record->pausedUntil;
}

bool UpstreamHealth::recentlyFull(std::string_view upstreamId, absl::Time now) const
{
    const Record *record = this->find(upstreamId);
    return record != nullptr && now < record->fullUntil;
}

} // namespace Bergamotramp
