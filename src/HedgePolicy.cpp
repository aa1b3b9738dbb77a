#include "HedgePolicy.h"

#include <algorithm>
#include <utility>

namespace Bergamotramp {

namespace {

// Few hedges are enough for a new service, because they only shorten the latency tail.
constexpr double initialHedges = 3.0;
constexpr double medianPercentile = 0.5;
// LatencyScore ejects an upstream at the same ratio. Ordinary batching varies the interval less.
constexpr double slowRatio = 2.5;
// A hedge must be expected to end clearly earlier than the stream, because it takes a slot from other requests.
constexpr double slowStreamHedgeMargin = 1.2;

} // namespace

HedgePolicy::HedgePolicy(const RepeatLimits &limits) : HedgePolicy(limits.hedgePercentile, RetryBudget(limits.hedgeBudgetShare, initialHedges))
{
}

HedgePolicy::HedgePolicy(double percentile, RetryBudget budget) : percentile(percentile), budget(std::move(budget))
{
}

void HedgePolicy::onRequest(absl::Time now)
{
    this->budget.onRequest(now);
}

void HedgePolicy::recordRetry(absl::Time now)
{
    this->budget.recordRepeat(now);
}

void HedgePolicy::recordFirstToken(absl::Duration firstToken, const LatencyClass &latencyClass)
{
    if (this->firstTokens.size() < maxClasses || this->firstTokens.contains(latencyClass)) {
        this->firstTokens[latencyClass].record(firstToken);
    }
}

void HedgePolicy::recordInterval(absl::Duration betweenTokens)
{
    this->intervals.record(betweenTokens);
}

// With the percentile alone, a fixed share of the requests would be hedged even when none is slow, and no budget would
// be left for a slowdown.
std::optional<absl::Duration> HedgePolicy::delay(const LatencyClass &latencyClass) const
{
    const std::optional<absl::Duration> median = this->medianFirstToken(latencyClass);
    const std::optional<absl::Duration> atPercentile = this->firstTokenAt(this->percentile, latencyClass);
    return median.has_value() && atPercentile.has_value() ? std::optional<absl::Duration>(std::max(*atPercentile, *median * slowRatio)) : std::nullopt;
}

std::optional<absl::Duration> HedgePolicy::medianFirstToken(const LatencyClass &latencyClass) const
{
    return this->firstTokenAt(medianPercentile, latencyClass);
}

std::optional<absl::Duration> HedgePolicy::firstTokenAt(double share, const LatencyClass &latencyClass) const
{
    const auto found = this->firstTokens.find(latencyClass);
    return found == this->firstTokens.end() ? std::nullopt : found->second.percentile(share);
}

std::optional<absl::Duration> HedgePolicy::slowInterval() const
{
    const std::optional<absl::Duration> median = this->intervals.percentile(medianPercentile);
    return median.has_value() ? std::optional<absl::Duration>(*median * slowRatio) : std::nullopt;
}

bool HedgePolicy::tryHedge(bool idempotent, absl::Duration waited, absl::Time now, absl::Time deadline, const LatencyClass &latencyClass)
{
    const std::optional<absl::Duration> hedgeDelay = this->delay(latencyClass);
    return idempotent && hedgeDelay.has_value() && waited >= *hedgeDelay && this->budget.tryRepeat(now, deadline);
}

bool HedgePolicy::tryHedgeSlowStream(const StreamProgress &stream, absl::Time now, absl::Time deadline)
{
    const std::optional<absl::Duration> median = this->intervals.percentile(medianPercentile);
    const std::optional<absl::Duration> firstToken = this->medianFirstToken();
    if (!median.has_value() || !firstToken.has_value() || stream.tokenInterval < *median * slowRatio) {
        return false;
    }
    // An answer of unknown length is assumed to be half complete.
    const std::uint32_t totalTokens = std::max(stream.expectedTokens == 0 ? 2 * stream.tokens : stream.expectedTokens, stream.tokens + 1);
    const absl::Duration remaining = stream.tokenInterval * (totalTokens - stream.tokens);
    const absl::Duration hedgeDuration = *firstToken + *median * totalTokens;
    return remaining > hedgeDuration * slowStreamHedgeMargin && this->budget.tryRepeat(now, deadline);
}

} // namespace Bergamotramp
