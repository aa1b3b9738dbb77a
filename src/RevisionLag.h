#pragma once

#include <cstdint>
#include <deque>

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

    /** @p allowedLag is how long a host may lack a change that others know. */
    explicit RevisionLag(absl::Duration allowedLag = maxLag);

    /** Another host has announced that it knows this revision. */
    void recordAnnounced(std::uint64_t revision);
    /** Whether a host that knows @p ownRevision has lagged for so long that it has to fetch the change now. */
    bool fetchDue(std::uint64_t ownRevision, absl::Time now);
    [[nodiscard]] std::uint64_t newest() const;

private:
    /** A revision that this host has not reached yet. */
    struct Awaited {
        std::uint64_t revision;
        absl::Time since;
    };

    /** Removes the revisions that this host has reached, and adds the newest one. */
    void updateAwaited(std::uint64_t ownRevision, absl::Time now);

    absl::Duration allowedLag;
    std::uint64_t newestRevision = 0;
    /** In ascending order. */
    std::deque<Awaited> awaited;
    absl::Time lastFetch = absl::InfinitePast();
    /** Grows with each fetch until this host has caught up. */
    absl::Duration allowed;
};

} // namespace Bergamotramp
