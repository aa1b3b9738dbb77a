#pragma once

#include <cstdint>

#include <absl/time/time.h>

namespace Bergamotramp {

/**
 * Decides when a host that lacks a change which other hosts know fetches it from another source. Repeated attempts follow at growing
 * intervals: when a link is saturated, fetching again at a fixed interval would keep it so.
 */
class RevisionLag
{
public:
    /** A change reaches all hosts within a few hundred milliseconds; a host that lags for longer fetches it from another source. */
    static constexpr absl::Duration maxLag = absl::Milliseconds(1200);
    static constexpr absl::Duration maxRetryInterval = absl::Seconds(10);

    /** Another host has announced that it knows this revision. */
    void recordAnnounced(std::uint64_t revision);
    /** Whether a host that knows @p ownRevision has lagged for so long that it has to fetch the change now. */
    bool fetchDue(std::uint64_t ownRevision, absl::Time now);
    [[nodiscard]] std::uint64_t newest() const;

private:
    std::uint64_t newestRevision = 0;
    absl::Time behindSince = absl::InfiniteFuture();
    absl::Duration allowed = maxLag;
};

} // namespace Bergamotramp
