#pragma once

#include <optional>

#include <absl/time/time.h>

#include "RepeatWindow.h"

namespace Bergamotramp {

/**
 * Limits retries or hedges to a share of the requests of one service: as a token bucket, from which each of them takes one token, or over
 * a sliding window, which allows no burst after a quiet time.
 */
class RetryBudget
{
public:
    /** Largest number of available repeats; limits the burst that an outage after a quiet period can cause. */
    static constexpr double maxTokens = 20.0;

    /**
     * @p share is the share of the requests, 0 to 1, that may be repeated; @p initialTokens repeats are available
     * before the first request.
     */
    explicit RetryBudget(double share, double initialTokens = maxTokens);
    /** A budget that allows a repeat only if the repeats of the last RepeatWindow::length are within the share of its requests. */
    static RetryBudget overWindow(double share);

    /** Counts a first attempt, which adds the share to the budget. */
    void onRequest(absl::Time now);
    /** Takes one repeat out of the budget; false when there is none or @p deadline has passed. */
    bool tryRepeat(absl::Time now, absl::Time deadline);
    /** Counts a repeat that is made whether or not the budget allows it. */
    void recordRepeat(absl::Time now);
    /** Number of available repeats of a token bucket. */
    [[nodiscard]] double balance() const;

private:
    void refill(absl::Time now);

    double share;
    double tokens;
    absl::Time lastRefill = absl::InfinitePast();
    /** Null for a token bucket. */
    std::optional<RepeatWindow> window;
};

} // namespace Bergamotramp
