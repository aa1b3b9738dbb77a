#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include <absl/time/time.h>

#include "RetryBudget.h"
#include "ServiceSpec.h"

namespace Bergamotramp {

/** Decides when a second attempt of an idempotent request of one service is started. */
class HedgePolicy
{
public:
    explicit HedgePolicy(const RepeatLimits &limits);

    /** Counts a first attempt. */
    void onRequest(absl::Time now);
    /** Takes the time to first token of a completed attempt. */
    void record(absl::Duration firstToken);
    /** The wait for the first token after which a hedge helps; nothing until enough requests completed. */
    [[nodiscard]] std::optional<absl::Duration> delay() const;
    /** Whether to start a hedge now for a request that has waited @p waited; takes it out of the budget. */
    bool tryHedge(bool idempotent, absl::Duration waited, absl::Time now, absl::Time deadline);

private:
    static constexpr std::size_t bucketCount = 128;

    double percentile;
    RetryBudget budget;
    std::array<std::uint32_t, bucketCount> buckets{};
    std::uint32_t samples = 0;
};

} // namespace Bergamotramp
