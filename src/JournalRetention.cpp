#include "JournalRetention.h"

#include <algorithm>

namespace Bergamotramp {

namespace {

/** Bounds the map of end times to a few hundred bins. */
constexpr int binsPerRetention = 512;

} // namespace

JournalRetention::JournalRetention(JournalRetentionLimits limits) : limits(limits), binWidth(std::max(limits.longest / binsPerRetention, absl::Microseconds(1)))
{
}

std::int64_t JournalRetention::binOf(const JournalKeyState &state) const
{
    return (state.endTime() - absl::UnixEpoch()) / this->binWidth;
}

void JournalRetention::add(const JournalKeyState &state)
{
    ++this->bins[this->binOf(state)];
}

void JournalRetention::remove(const JournalKeyState &state)
{
    const auto bin = this->bins.find(this->binOf(state));
    if (bin != this->bins.end() && --bin->second == 0) {
        this->bins.erase(bin);
    }
}

absl::Time JournalRetention::expiryHorizon(absl::Time now) const
{
    return std::max(this->evictedUntil, now - this->limits.longest - absl::Microseconds(1));
}

bool JournalRetention::isExpired(const JournalKeyState &state, absl::Time now) const
{
    return state.endTime() <= this->expiryHorizon(now);
}

void JournalRetention::raiseHorizon(absl::Time horizon)
{
    this->evictedUntil = std::max(this->evictedUntil, horizon);
}

void JournalRetention::evict(std::size_t excess, absl::Time now)
{
    const absl::Time latest = now - this->limits.shortest - absl::Microseconds(1);
    std::size_t expiredKeys = 0;
    for (auto bin = this->bins.begin(); bin != this->bins.end() && expiredKeys < excess; ++bin) {
        const absl::Time end = absl::UnixEpoch() + this->binWidth * (bin->first + 1) - absl::Microseconds(1);
        expiredKeys += bin->second;
        this->raiseHorizon(std::min(end, latest));
        if (end >= latest) {
            return;
        }
    }
}

void JournalRetention::clear()
{
    this->evictedUntil = absl::InfinitePast();
    this->bins.clear();
}

} // namespace Bergamotramp
