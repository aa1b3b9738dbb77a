#pragma once

#include <absl/time/time.h>

namespace Bergamotramp {

/** The times of a planned stop, from the signal to the end of the process before the grace period is over. */
class StopPlan
{
public:
    /** @p addressLifetime is how long callers may use the host's address after it has left the directory. */
    StopPlan(absl::Time started, absl::Duration grace, absl::Duration addressLifetime);

    bool operator==(const StopPlan &) const = default;

    [[nodiscard]] absl::Time started() const;
    /** Until then the host accepts connections. */
    [[nodiscard]] absl::Time stopAcceptingAt() const;
    [[nodiscard]] absl::Time closeIdleAt() const;
    /** When the reads that wait for results are answered. */
    [[nodiscard]] absl::Time answerReadsAt() const;
    /** When all requests whose response has not begun are answered. */
    [[nodiscard]] absl::Time answerRequestsAt() const;
    /** When the process ends at the latest. */
    [[nodiscard]] absl::Time endAt() const;
    /** Whether a request that arrives at @p now and may last until @p deadline is taken. */
    [[nodiscard]] bool mayTake(absl::Time now, absl::Time deadline) const;

private:
    absl::Time startedAt;
    absl::Duration grace;
    absl::Duration addressLifetime;
};

} // namespace Bergamotramp
