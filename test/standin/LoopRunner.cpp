#include "LoopRunner.h"

#include <absl/time/clock.h>

#include "Asio.h"

namespace Bergamotramp {

namespace {

constexpr absl::Duration conditionTimeout = absl::Seconds(40);
constexpr auto pollPeriod = std::chrono::milliseconds(20);

} // namespace

bool runUntil(EventLoop &loop, const std::function<bool()> &condition)
{
    const absl::Time end = absl::Now() + conditionTimeout;
    while (!condition()) {
        if (absl::Now() > end) {
            return false;
        }
        loop.context().restart();
        loop.context().run_one_for(pollPeriod);
    }
    return true;
}

void runFor(EventLoop &loop, absl::Duration duration)
{
    const absl::Time end = absl::Now() + duration;
    runUntil(loop, [end] { return absl::Now() >= end; });
}

} // namespace Bergamotramp
