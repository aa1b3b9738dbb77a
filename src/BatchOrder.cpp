#include "BatchOrder.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace Bergamotramp {

namespace {

// Weight of the newest run in the average, so that single long or short runs change the order little.
constexpr double newestRunWeight = 0.1;
// A host with only late items competes with one for each this many of them.
constexpr std::int64_t lateItemsPerCompetingItem = 10;

} // namespace

void RunTimeEstimate::record(absl::Duration runTime)
{
    this->average = this->measured ? this->average + newestRunWeight * (runTime - this->average) : runTime;
    this->measured = true;
}

absl::Duration RunTimeEstimate::expected() const
{
    return this->average;
}

bool BatchOrder::canFinishInTime(const WaitingJob &job, absl::Duration runTime, absl::Time now)
{
    return now + runTime + deliveryTime <= job.due;
}

std::vector<std::size_t> BatchOrder::order(const std::vector<WaitingJob> &jobs, absl::Duration runTime, absl::Time now)
{
    std::vector<std::size_t> indexes(jobs.size());
    std::iota(indexes.begin(), indexes.end(), 0U);
    std::ranges::stable_sort(indexes, {}, [&](std::size_t index) {
        const WaitingJob &job = jobs[index];
        const bool late = !canFinishInTime(job, runTime, now);
        return std::tuple(late, late ? job.submitted : job.due);
    });
    return indexes;
}

std::int64_t BatchOrder::competingItems(const std::vector<WaitingJob> &jobs, absl::Duration runTime, absl::Time now)
{
    std::int64_t inTime = 0;
    std::int64_t late = 0;
    for (const WaitingJob &job : jobs) {
        (canFinishInTime(job, runTime, now) ? inTime : late) += static_cast<std::int64_t>(job.waitingItems);
    }
    return inTime > 0 ? inTime : (late + lateItemsPerCompetingItem - 1) / lateItemsPerCompetingItem;
}

} // namespace Bergamotramp
