#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Bergamotramp {

/** How often one upstream crashed while it ran requests with one fingerprint. */
struct UpstreamCrashes {
    std::string upstream;
    std::uint32_t crashes = 0;

    bool operator==(const UpstreamCrashes &) const = default;
};

/** The crash count of a fingerprint, as hosts send it to each other; 0 clears a suspect. */
struct CrashCount {
    std::uint64_t fingerprint = 0;
    std::uint32_t crashes = 0;
    /** The crashes by upstream, in order of the names; those of unknown upstreams are missing. */
    std::vector<UpstreamCrashes> upstreams{};

    bool operator==(const CrashCount &) const = default;
};

} // namespace Bergamotramp
