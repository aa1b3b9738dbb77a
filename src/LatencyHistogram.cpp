#include "LatencyHistogram.h"

#include <algorithm>
#include <cmath>

namespace Bergamotramp {

namespace {

constexpr absl::Duration firstBucket = absl::Microseconds(100);
// 128 buckets of this ratio reach from 0.1 ms to over 10 minutes.
constexpr double bucketRatio = 1.13;
constexpr std::uint32_t minSamples = 50;
// Halving the counts at this limit gives recent records more weight, so that the percentiles follow the last few
// thousand.
constexpr std::uint32_t maxSamples = 4000;

std::size_t bucketOf(absl::Duration latency, std::size_t count)
{
    const double ratio = std::max(1.0, absl::FDivDuration(latency, firstBucket));
    return std::min(count - 1, static_cast<std::size_t>(std::log(ratio) / std::log(bucketRatio)));
}

} // namespace

void LatencyHistogram::record(absl::Duration latency)
{
    ++this->buckets.at(bucketOf(latency, bucketCount));
    if (++this->samples < maxSamples) {
        return;
    }
    this->samples = 0;
    for (std::uint32_t &count : this->buckets) {
        count /= 2;
        this->samples += count;
    }
}

std::optional<absl::Duration> LatencyHistogram::percentile(double percentile) const
{
    if (this->samples < minSamples) {
        return std::nullopt;
    }
    const double targetCount = percentile * this->samples;
    double cumulativeCount = 0.0;
    std::size_t index = 0;
    while (index + 1 < bucketCount && cumulativeCount + this->buckets.at(index) < targetCount) {
        cumulativeCount += this->buckets.at(index);
        ++index;
    }
    return firstBucket * std::pow(bucketRatio, static_cast<double>(index + 1));
}

} // namespace Bergamotramp
