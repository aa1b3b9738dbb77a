#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

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

/** Speed of an upstream among the upstreams of its service. */
enum class UpstreamSpeed {
    Ordinary,
    Slower,
};

/** Requests of one service whose latencies are comparable. A service whose requests are not told apart has one class. */
struct LatencyClass {
    std::string route;
    /** Size of the prompt, as a number of steps. */
    int promptStep = 0;
    UpstreamSpeed speed = UpstreamSpeed::Ordinary;

    auto operator<=>(const LatencyClass &) const = default;
};

/** Decides when a hedge, a second attempt of an idempotent request of one service, is started. */
class HedgePolicy
{
public:
    /** Most classes whose latencies are kept. Requests of any further class are not hedged. */
    static constexpr std::size_t maxClasses = 1024;

    explicit HedgePolicy(const RepeatLimits &limits);
    /** @p percentile, 0 to 1, is the one of the time to first token after which a request is hedged. */
    HedgePolicy(double percentile, RetryBudget budget);

    /** Counts a first attempt, which adds to the hedge budget. */
    void onRequest(absl::Time now);
    /** Counts a retry, which takes from the budget whether or not it allows it. */
    void recordRetry(absl::Time now);
    /** Records the time to first token of an attempt. */
    void recordFirstToken(absl::Duration firstToken, const LatencyClass &latencyClass = {});
    /** Records the mean time between tokens of a complete answer. */
    void recordInterval(absl::Duration betweenTokens);
    /** Wait for the first token after which a hedge helps; nothing until enough requests completed. */
    [[nodiscard]] std::optional<absl::Duration> delay(const LatencyClass &latencyClass = {}) const;
    /** Median time to first token; nothing until enough requests completed. */
    [[nodiscard]] std::optional<absl::Duration> medianFirstToken(const LatencyClass &latencyClass = {}) const;
    /** Time per token from which a running stream counts as slow; nothing until enough answers completed. */
    [[nodiscard]] std::optional<absl::Duration> slowInterval() const;
    /** Whether to start a hedge now for a request that has waited @p waited. A hedge is taken from the budget. */
    bool tryHedge(bool idempotent, absl::Duration waited, absl::Time now, absl::Time deadline, const LatencyClass &latencyClass = {});
    /**
     * Whether a hedge that starts from the beginning is likely to end before the slow stream. A hedge is taken from the
     * budget.
     */
    bool tryHedgeSlowStream(const StreamProgress &stream, absl::Time now, absl::Time deadline);

private:
    [[nodiscard]] std::optional<absl::Duration> firstTokenAt(double share, const LatencyClass &latencyClass) const;

    double percentile;
    RetryBudget budget;
    std::map<LatencyClass, LatencyHistogram> firstTokens;
    LatencyHistogram intervals;
};

} // namespace Bergamotramp
