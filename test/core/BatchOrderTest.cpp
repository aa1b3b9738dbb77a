#include "BatchOrder.h"

#include <functional>

#include <gtest/gtest.h>

namespace Bergamotramp {

namespace {

const absl::Time start = absl::FromUnixSeconds(1'000'000);
constexpr absl::Duration dueTime = absl::Seconds(18);
constexpr std::size_t itemsPerJob = 10;

/** Jobs that arrive at a multiple of what the slots can do, and the items that complete. */
class OverloadSimulation
{
public:
    using OrderFunction = std::function<std::vector<std::size_t>(const std::vector<WaitingJob> &, absl::Duration, absl::Time)>;

    struct Outcome {
        std::size_t inTime = 0;
        std::size_t late = 0;
    };

    static constexpr std::size_t slots = 20;
    static constexpr absl::Duration runTime = absl::Seconds(4);
    static constexpr absl::Duration length = absl::Minutes(2);
    /** Items that the slots can complete within the simulated time. */
    static constexpr std::size_t capacity = slots * 30;

    static Outcome run(double load, const OrderFunction &order)
    {
        constexpr absl::Duration step = absl::Milliseconds(100);
        std::vector<WaitingJob> jobs;
        std::vector<std::pair<absl::Time, std::size_t>> running;
        RunTimeEstimate estimate;
        Outcome outcome;
        double arrived = 0;
        for (absl::Time now = start; now < start + length; now += step) {
            arrived += load * slots * absl::FDivDuration(step, runTime) / itemsPerJob;
            for (; arrived >= 1; arrived -= 1) {
                jobs.push_back({.submitted = now, .due = now + dueTime, .waitingItems = itemsPerJob});
            }
            std::erase_if(running, [&](const auto &run) {
                const bool completed = run.first <= now;
                if (completed) {
                    estimate.record(runTime);
                    ++(now + BatchOrder::deliveryTime <= jobs[run.second].due ? outcome.inTime : outcome.late);
                }
                return completed;
            });
            for (const std::size_t index : order(jobs, estimate.expected(), now)) {
                while (jobs[index].waitingItems > 0 && running.size() < slots) {
                    --jobs[index].waitingItems;
                    running.emplace_back(now + runTime, index);
                }
            }
        }
        return outcome;
    }
};

// Guards against a lasting overload in which every job is accepted and every job comes late: at four times the capacity, nearly all
// items that the slots can complete must be in time.
TEST(BatchOrderTest, overloadKeepsTheSlotsBusyWithItemsInTime)
{
    const auto outcome = OverloadSimulation::run(4.0, &BatchOrder::order);
    EXPECT_GE(outcome.inTime, OverloadSimulation::capacity * 9 / 10);
    const auto bySubmission = [](const std::vector<WaitingJob> &jobs, absl::Duration, absl::Time) {
        std::vector<std::size_t> indexes(jobs.size());
        for (std::size_t index = 0; index < jobs.size(); ++index) {
            indexes[index] = index;
        }
        return indexes;
    };
    EXPECT_LT(OverloadSimulation::run(4.0, bySubmission).inTime, OverloadSimulation::capacity / 3) << "the load must be one that needs the order";
}

// Guards against work that is given up although the slots suffice for it.
TEST(BatchOrderTest, loadBelowTheCapacityIsServedWhole)
{
    const auto outcome = OverloadSimulation::run(0.9, &BatchOrder::order);
    EXPECT_EQ(outcome.late, 0U);
    EXPECT_GE(outcome.inTime, OverloadSimulation::capacity * 8 / 10);
}

// Guards against late jobs that are never finished although slots are free.
TEST(BatchOrderTest, lateJobsFollowInOrderOfSubmission)
{
    const absl::Time now = start + absl::Minutes(1);
    const std::vector<WaitingJob> jobs{{.submitted = start + absl::Seconds(5), .due = start + absl::Seconds(23), .waitingItems = 1},
                                       {.submitted = start, .due = start + absl::Seconds(18), .waitingItems = 1},
                                       {.submitted = now, .due = now + dueTime, .waitingItems = 3}};
    EXPECT_EQ(BatchOrder::order(jobs, absl::Seconds(4), now), (std::vector<std::size_t>{2, 1, 0}));
    EXPECT_EQ(BatchOrder::competingItems(jobs, absl::Seconds(4), now), 3);
    EXPECT_EQ(BatchOrder::competingItems({jobs[0], jobs[1]}, absl::Seconds(4), now), 1);
    EXPECT_EQ(BatchOrder::competingItems({}, absl::Seconds(4), now), 0);
}

} // namespace

} // namespace Bergamotramp
