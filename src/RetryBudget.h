#pragma once

#include <absl/time/time.h>

namespace Bergamotramp {

/** Limits repeated attempts to a share of the requests of one service. */
class RetryBudget
{
public:
    /** Repeats that a budget may hold; bounds what an outage can cause at once after a quiet period. */
    static constexpr double maxTokens = 20.0;

    /** @p share is of the requests, 0 to 1; @p initialTokens repeats are available before the first request. */
    explicit RetryBudget(double share, double initialTokens = maxTokens);

    /** Counts a first attempt. */
    void onRequest(absl::Time now);
    /** Takes one repeat out of the budget; false when there is none or @p deadline has passed. */
    bool tryRepeat(absl::Time now, absl::Time deadline);
    [[nodiscard]] double balance() const;

private:
    void refill(absl::Time now);

    double share;
    double tokens;
    absl::Time lastRefill = absl::InfinitePast();
};

} // namespace Bergamotramp
