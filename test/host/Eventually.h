#pragma once

#include <functional>

#include <absl/time/clock.h>
#include <absl/time/time.h>

namespace Bergamotramp {

/** Polls until @p condition returns true. Returns false after the limit, which no correct run reaches. */
inline bool eventually(const std::function<bool()> &condition)
{
    constexpr absl::Duration limit = absl::Seconds(60);
    constexpr absl::Duration pause = absl::Milliseconds(5);
    const absl::Time end = absl::Now() + limit;
    while (!condition()) {
        if (absl::Now() > end) {
            return false;
        }
        absl::SleepFor(pause);
    }
    return true;
}

} // namespace Bergamotramp
