#pragma once

#include <absl/time/time.h>

namespace Bergamotramp {

/** Token bucket that limits retries or hedges to a share of the requests of one service. Each of them takes one token. */
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

    /** Counts a first attempt, which adds the share to the budget. */
    void onRequest(absl::Time now);
    /** Takes one repeat out of the budget; false when there is none or @p deadline has passed. */
    bool tryRepeat(absl::Time now, absl::Time deadline);
    /** Number of available repeats. */
    [[nodiscard]] double balance() const;

private:
    void refill(absl::Time now);

    double share;
    double tokens;
    absl::Time lastRefill = absl::InfinitePast();
};

} // namespace Bergamotramp
