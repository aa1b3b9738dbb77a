#pragma once

#include <cstdint>
#include <optional>

#include <absl/time/time.h>

#include "LatencyHistogram.h"
#include "RetryBudget.h"
#include "ServiceSpec.h"

namespace Bergamotramp {

/** A running stream, as far as the choice between waiting and a second attempt depends on it. */
struct StreamProgress {
    std::uint32_t tokens = 0;
    /** Tokens of the whole answer; 0 for unknown. */
    std::uint32_t expectedTokens = 0;
    /** Recent time per token. */
    absl::Duration interval;

    bool operator==(const StreamProgress &) const = default;
};

/** Decides when a second attempt of an idempotent request of one service is started. */
class HedgePolicy
{
public:
    explicit HedgePolicy(const RepeatLimits &limits);

    /** Counts a first attempt. */
    void onRequest(absl::Time now);
    /** Takes the time to first token of an attempt. */
    void record(absl::Duration firstToken);
    /** Takes the mean time between tokens of a whole answer. */
    void recordInterval(absl::Duration betweenTokens);
    /** The wait for the first token after which a hedge helps; nothing until enough requests completed. */
    [[nodiscard]] std::optional<absl::Duration> delay() const;
    /** Time per token from which a running stream counts as slow; nothing until enough answers completed. */
    [[nodiscard]] std::optional<absl::Duration> slowInterval() const;
    /** Whether to start a hedge now for a request that has waited @p waited; takes it out of the budget. */
    bool tryHedge(bool idempotent, absl::Duration waited, absl::Time now, absl::Time deadline);
    /** Whether a second attempt is likely to overtake a slow stream from the start; takes it out of the budget. */
    bool tryOvertake(const StreamProgress &stream, absl::Time now, absl::Time deadline);

private:
    double percentile;
    RetryBudget budget;
    LatencyHistogram firstTokens;
    LatencyHistogram intervals;
};

} // namespace Bergamotramp
