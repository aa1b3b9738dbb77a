#pragma once

#include <cstdint>
#include <optional>

#include <absl/time/time.h>

#include "LatencyHistogram.h"
#include "RetryBudget.h"
#include "ServiceSpec.h"

namespace Bergamotramp {

/** Progress of a running stream, from which HedgePolicy decides whether to start a second attempt. */
struct StreamProgress {
    /** Tokens received so far. */
    std::uint32_t tokens = 0;
    /** Expected tokens of the whole answer; 0 if unknown. */
    std::uint32_t expectedTokens = 0;
    /** Recent time per token. */
    absl::Duration tokenInterval;

    bool operator==(const StreamProgress &) const = default;
};

/** Decides when a hedge, a second attempt of an idempotent request of one service, is started. */
class HedgePolicy
{
public:
    explicit HedgePolicy(const RepeatLimits &limits);

    /** Counts a first attempt, which adds to the hedge budget. */
    void onRequest(absl::Time now);
    /** Records the time to first token of an attempt. */
    void recordFirstToken(absl::Duration firstToken);
    /** Records the mean time between tokens of a complete answer. */
    void recordInterval(absl::Duration betweenTokens);
    /** Wait for the first token after which a hedge helps; nothing until enough requests completed. */
    [[nodiscard]] std::optional<absl::Duration> delay() const;
    /** Time per token from which a running stream counts as slow; nothing until enough answers completed. */
    [[nodiscard]] std::optional<absl::Duration> slowInterval() const;
    /** Whether to start a hedge now for a request that has waited @p waited. A hedge is taken from the budget. */
    bool tryHedge(bool idempotent, absl::Duration waited, absl::Time now, absl::Time deadline);
    /**
     * Whether a hedge that starts from the beginning is likely to end before the slow stream. A hedge is taken from the
     * budget.
     */
    bool tryHedgeSlowStream(const StreamProgress &stream, absl::Time now, absl::Time deadline);

private:
    double percentile;
    RetryBudget budget;
    LatencyHistogram firstTokens;
    LatencyHistogram intervals;
};

} // namespace Bergamotramp
