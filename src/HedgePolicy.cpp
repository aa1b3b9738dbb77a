#include "HedgePolicy.h"

#include <algorithm>

namespace Bergamotramp {

namespace {

// Hedges only shorten the tail, so that a new service may start with few.
constexpr double initialHedges = 3.0;
constexpr double medianPercentile = 0.5;
// The same ratio ejects an upstream in LatencyScore; ordinary batching varies the interval less.
constexpr double slowRatio = 2.5;
// A second attempt must be expected to end clearly earlier, because it takes a slot from other requests.
constexpr double overtakeMargin = 1.2;

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
    this->firstTokens.record(firstToken);
}

void HedgePolicy::recordInterval(absl::Duration betweenTokens)
{
    this->intervals.record(betweenTokens);
}

// The percentile alone hedges its share of the requests even when none is slow, and leaves no budget for a slowdown.
std::optional<absl::Duration> HedgePolicy::delay() const
{
    const std::optional<absl::Duration> typical = this->firstTokens.percentile(medianPercentile);
    const std::optional<absl::Duration> late = this->firstTokens.percentile(this->percentile);
    return typical.has_value() && late.has_value() ? std::optional<absl::Duration>(std::max(*late, *typical * slowRatio)) : std::nullopt;
}

std::optional<absl::Duration> HedgePolicy::slowInterval() const
{
    const std::optional<absl::Duration> typical = this->intervals.percentile(medianPercentile);
    return typical.has_value() ? std::optional<absl::Duration>(*typical * slowRatio) : std::nullopt;
}

bool HedgePolicy::tryHedge(bool idempotent, absl::Duration waited, absl::Time now, absl::Time deadline)
{
    const std::optional<absl::Duration> after = this->delay();
    return idempotent && after.has_value() && waited >= *after && this->budget.tryRepeat(now, deadline);
}

bool HedgePolicy::tryOvertake(const StreamProgress &stream, absl::Time now, absl::Time deadline)
{
    const std::optional<absl::Duration> typical = this->intervals.percentile(medianPercentile);
    const std::optional<absl::Duration> firstToken = this->firstTokens.percentile(medianPercentile);
    if (!typical.has_value() || !firstToken.has_value() || stream.interval < *typical * slowRatio) {
        return false;
    }
    // An answer of unknown length is expected to be half done.
    const std::uint32_t whole = std::max(stream.expectedTokens == 0 ? 2 * stream.tokens : stream.expectedTokens, stream.tokens + 1);
    const absl::Duration remaining = stream.interval * (whole - stream.tokens);
    const absl::Duration again = *firstToken + *typical * whole;
    return remaining > again * overtakeMargin && this->budget.tryRepeat(now, deadline);
}

} // namespace Bergamotramp
