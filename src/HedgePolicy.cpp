#include "HedgePolicy.h"

#include <algorithm>
#include <cmath>

namespace Bergamotramp {

namespace {

// Hedges only shorten the tail, so that a new service may start with few.
constexpr double initialHedges = 3.0;
constexpr absl::Duration firstBucket = absl::Microseconds(100);
// 128 buckets of this ratio reach from 0.1 ms to over 10 minutes with an error of at most 13%.
constexpr double bucketRatio = 1.13;
constexpr std::uint32_t minSamples = 50;
// Halving the counts at this limit lets the percentile follow the last few thousand requests.
constexpr std::uint32_t maxSamples = 4000;

std::size_t bucketOf(absl::Duration value, std::size_t count)
{
    const double ratio = std::max(1.0, absl::FDivDuration(value, firstBucket));
    return std::min(count - 1, static_cast<std::size_t>(std::log(ratio) / std::log(bucketRatio)));
}

} // namespace

HedgePolicy::HedgePolicy(const RepeatLimits &limits) : percentile(limits.hedgePercentile), budget(limits.hedgeBudgetShare, initialHedges)
{
}

void HedgePolicy::onRequest(absl::Time now)
{
    this->budget.onRequest(now);
}

void HedgePolicy::record(absl::Duration firstToken)
{
    ++this->buckets.at(bucketOf(firstToken, bucketCount));
    if (++this->samples < maxSamples) {
        return;
    }
    this->samples = 0;
    for (std::uint32_t &count : this->buckets) {
        count /= 2;
        this->samples += count;
    }
}

std::optional<absl::Duration> HedgePolicy::delay() const
{
    if (this->samples < minSamples) {
        return std::nullopt;
    }
    const double wanted = this->percentile * this->samples;
    double seen = 0.0;
    std::size_t index = 0;
    while (index + 1 < bucketCount && seen + this->buckets.at(index) < wanted) {
        seen += this->buckets.at(index);
        ++index;
    }
    return firstBucket * std::pow(bucketRatio, static_cast<double>(index + 1));
}

bool HedgePolicy::tryHedge(bool idempotent, absl::Duration waited, absl::Time now, absl::Time deadline)
{
    const std::optional<absl::Duration> after = this->delay();
    return idempotent && after.has_value() && waited >= *after && this->budget.tryRepeat(now, deadline);
}

} // namespace Bergamotramp
