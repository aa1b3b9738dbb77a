#pragma once

#include <functional>

#include <absl/time/clock.h>
#include <absl/time/time.h>

#include "EventLoop.h"

namespace Bergamotramp {

/** Runs @p loop until @p condition holds; the limit only ends a test that has failed. */
inline bool runUntil(EventLoop &loop, const std::function<bool()> &condition)
{
    constexpr absl::Duration limit = absl::Seconds(40);
    constexpr auto pause = std::chrono::milliseconds(20);
    const absl::Time end = absl::Now() + limit;
    while (!condition()) {
        if (absl::Now() > end) {
            return false;
        }
        loop.context().restart();
        loop.context().run_one_for(pause);
    }
    return true;
}

/** Runs @p loop for a while, for what must not happen. */
inline void runFor(EventLoop &loop, absl::Duration duration)
{
    const absl::Time end = absl::Now() + duration;
    runUntil(loop, [end] { return absl::Now() >= end; });
}

} // namespace Bergamotramp
