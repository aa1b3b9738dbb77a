#include "QuotaBucket.h"

#include <algorithm>
#include <cmath>

namespace Bergamotramp {

namespace {

// Sums of fractions of tokens may miss a whole token by a rounding error.
constexpr double roundingError = 1e-9;

std::uint32_t wholeTokens(double tokens)
{
    return static_cast<std::uint32_t>(std::max(0.0, std::floor(tokens + roundingError)));
}

} // namespace

QuotaBucket::QuotaBucket(const QuotaShare &share, absl::Time filledSince, absl::Time now) : share(share), savedAt(filledSince)
{
    this->setShare(share, now);
}

void QuotaBucket::setShare(const QuotaShare &changed, absl::Time now)
{
    this->share.rate = std::min(this->share.rate, changed.rate);
    this->saved = std::min(this->level(now), changed.capacity);
    this->savedAt = std::max(now, this->savedAt);
    this->share = changed;
}

std::uint32_t QuotaBucket::grant(std::uint32_t needed, std::uint32_t ahead, absl::Time now)
{
    const double available = this->level(now);
    const std::uint32_t forNeeded = std::min(needed, wholeTokens(available));
    const std::uint32_t forAhead = std::min(ahead, wholeTokens(available - forNeeded - this->share.capacity / 2));
    this->saved = available - forNeeded - forAhead;
    this->savedAt = std::max(now, this->savedAt);
    return forNeeded + forAhead;
}

absl::Duration QuotaBucket::reserveAskAgain(absl::Time now)
{
    if (this->share.rate <= 0) {
        return askAgainWithoutShare;
    }
    const absl::Duration interval = absl::Seconds(1 / this->share.rate);
    const absl::Time nextToken = std::max(now, this->savedAt) + interval * std::max(0.0, 1 - this->level(now));
    this->lastAskAgainAt = std::min(std::max(nextToken, this->lastAskAgainAt + interval), now + maxAskAgain);
    return this->lastAskAgainAt - now;
}

double QuotaBucket::level(absl::Time now) const
{
    const double seconds = std::max(0.0, absl::ToDoubleSeconds(now - this->savedAt));
    return std::min(this->share.capacity, this->saved + (this->share.rate * seconds));
}

} // namespace Bergamotramp
