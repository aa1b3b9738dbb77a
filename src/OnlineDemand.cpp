#include "OnlineDemand.h"

#include <algorithm>
#include <cmath>

namespace Bergamotramp {

namespace {

// Idle capacity lasts only seconds, so the estimated arrival rate has to follow changes within seconds.
constexpr absl::Duration arrivalWindow = absl::Seconds(5);
constexpr double sampleWeight = 0.05;
constexpr std::size_t minSamples = 20;
// Long requests produce many times more tokens than the mean; ordinary variation stays below this ratio.
constexpr double longRatio = 4.0;
constexpr double minLongTokens = 256.0;
// Used until there are minSamples samples.
constexpr double initialLongTokens = 1024.0;

void updateMean(double &mean, std::size_t &samples, double value)
{
    ++samples;
    // Arithmetic mean of the first samples, then an exponential moving average.
    mean += std::max(sampleWeight, 1.0 / static_cast<double>(samples)) * (value - mean);
}

bool isLong(std::uint32_t tokens, double mean, std::size_t samples)
{
    const double limit = samples < minSamples ? initialLongTokens : std::max(minLongTokens, longRatio * mean);
    return tokens >= limit;
}

} // namespace

void OnlineDemand::onArrival(absl::Time now, std::uint32_t expectedTokens)
{
    this->decayedArrivals = this->arrivalsPerSecond(now) * absl::ToDoubleSeconds(arrivalWindow) + 1.0;
    this->lastArrival = std::max(this->lastArrival, now);
    if (expectedTokens > 0) {
        updateMean(this->meanExpectedTokens, this->expectedSamples, expectedTokens);
    }
}

void OnlineDemand::onServed(absl::Duration timeInService, std::uint32_t tokens)
{
    updateMean(this->meanSeconds, this->served, absl::ToDoubleSeconds(timeInService));
    this->meanTokens += std::max(sampleWeight, 1.0 / static_cast<double>(this->served)) * (tokens - this->meanTokens);
}

std::int64_t OnlineDemand::reserve(std::int64_t slots, std::int64_t onlineInFlight, double share, absl::Time now) const
{
    // By Little's law, the number of slots that recent arrivals occupy on average.
    const double needed = this->arrivalsPerSecond(now) * this->meanSeconds;
    const auto additional = static_cast<std::int64_t>(std::ceil(needed)) - onlineInFlight;
    const std::int64_t unused = std::max<std::int64_t>(0, slots - onlineInFlight);
    const auto shareOfUnused = static_cast<std::int64_t>(std::floor(share * static_cast<double>(unused)));
    return std::clamp<std::int64_t>(std::max(additional, shareOfUnused), 0, unused);
}

absl::Duration OnlineDemand::expectedWait(std::size_t ahead, std::int64_t slots) const
{
    if (this->served < minSamples || slots <= 0) {
        return absl::ZeroDuration();
    }
    return absl::Seconds(static_cast<double>(ahead + 1) * this->meanSeconds / static_cast<double>(slots));
}

absl::Duration OnlineDemand::expectedService(std::uint32_t expectedTokens) const
{
    if (this->served < minSamples) {
        return absl::ZeroDuration();
    }
    // A token limit above the mean says little about the length of the answer; one below the mean bounds its duration.
    const double share = expectedTokens > 0 && expectedTokens < this->meanTokens ? expectedTokens / this->meanTokens : 1.0;
    return absl::Seconds(share * this->meanSeconds);
}

bool OnlineDemand::expectedLong(std::uint32_t expectedTokens) const
{
    return isLong(expectedTokens, this->meanExpectedTokens, this->expectedSamples);
}

bool OnlineDemand::runningLong(std::uint32_t tokens) const
{
    return isLong(tokens, this->meanTokens, this->served);
}

double OnlineDemand::arrivalsPerSecond(absl::Time now) const
{
    if (this->decayedArrivals <= 0.0) {
        return 0.0;
    }
    const double windows = std::max(0.0, absl::FDivDuration(now - this->lastArrival, arrivalWindow));
    return this->decayedArrivals * std::exp(-windows) / absl::ToDoubleSeconds(arrivalWindow);
}

absl::Duration OnlineDemand::serviceTime() const
{
    return absl::Seconds(this->meanSeconds);
}

} // namespace Bergamotramp
