#pragma once

#include <cstdint>
#include <string>

namespace Bergamotramp {

/** One run of an upstream's process. */
struct UpstreamRun {
    std::string id;
    /** Start of the process in milliseconds since the epoch; 0 if the registration does not tell it. */
    std::int64_t startedAtMs = 0;

    auto operator<=>(const UpstreamRun &) const = default;
};

/** A 32-bit hash that identifies the run in announcements; the same on all hosts. */
std::uint32_t upstreamRunKey(const UpstreamRun &run);

} // namespace Bergamotramp
