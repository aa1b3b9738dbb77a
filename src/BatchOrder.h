#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include <absl/time/time.h>

namespace Bergamotramp {

/** Running estimate of how long an item occupies a slot until it is complete. */
class RunTimeEstimate
{
public:
    /** Assumed before the first item has completed. */
    static constexpr absl::Duration initial = absl::Seconds(1);

    void record(absl::Duration runTime);
    [[nodiscard]] absl::Duration expected() const;

private:
    absl::Duration average = initial;
    bool measured = false;
};

/** A job with items that wait for a slot. */
struct WaitingJob {
    absl::Time submitted;
    absl::Time due;
    std::size_t waitingItems = 0;

    bool operator==(const WaitingJob &) const = default;
};

/**
 * The order in which jobs get free slots. Jobs whose items can still complete in time come first, the one that is due first before
 * the others; late jobs get the slots that are left. Plain order of submission serves an overload badly: the oldest jobs are then
 * the late ones, every slot goes to them, and each job becomes late in turn.
 */
class BatchOrder
{
public:
    /** Time to store a result and return it, in addition to the run of the item. */
    static constexpr absl::Duration deliveryTime = absl::Milliseconds(500);

    /** Whether an item of the job that starts now is expected to be delivered by the due time. */
    [[nodiscard]] static bool canFinishInTime(const WaitingJob &job, absl::Duration runTime, absl::Time now);
    /** Indexes into @p jobs in the order in which they get slots. */
    [[nodiscard]] static std::vector<std::size_t> order(const std::vector<WaitingJob> &jobs, absl::Duration runTime, absl::Time now);
    /**
     * The items with which a host competes for the free slots that it shares with other hosts. Late items count only if no others wait,
     * and then for little, so that slots go to the hosts whose items can complete in time.
     */
    [[nodiscard]] static std::int64_t competingItems(const std::vector<WaitingJob> &jobs, absl::Duration runTime, absl::Time now);
};

} // namespace Bergamotramp
