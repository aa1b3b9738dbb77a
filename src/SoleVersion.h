#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Bergamotramp {

/**
 * What a host concludes from the registrations of upstreams: that a service has lately had no other software version. It holds up to a
 * revision of the store only, because a host learns late that it gets no more changes.
 */
struct SoleVersion {
    std::string version;
    /** The host knows all changes of the registrations up to this store revision; 0 if that is not known. */
    std::uint64_t knownUntilRevision = 0;

    bool operator==(const SoleVersion &) const = default;
};

/** What several hosts together conclude for one service: nothing if they contradict each other, or if it is not known until when it holds. */
[[nodiscard]] std::optional<SoleVersion> combine(const std::vector<SoleVersion> &conclusions);

} // namespace Bergamotramp
