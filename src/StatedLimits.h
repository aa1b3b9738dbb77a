#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

namespace Bergamotramp {

/** What the last known answer of an upstream said of its limit for the requests of all hosts. */
struct LimitReport {
    /** The upstreamRunKey() of the run that gave the answer. */
    std::uint32_t run = 0;
    /** Requests per second; nothing when the answer named no limit, so that an earlier one has ended. */
    std::optional<double> requestsPerSecond;
    /** When the answer arrived. */
    absl::Time observed;

    bool operator==(const LimitReport &) const = default;
};

/**
 * The limits that runs of upstreams state in their answers. Of several statements of one run the latest holds, whichever host has
 * received it. A limit is forgotten when no answer has stated it for a while; the next answer states it again.
 */
class StatedLimits
{
public:
    /** Longer than the interval of the announcements in a large fleet. */
    static constexpr absl::Duration lifetime = absl::Seconds(20);
    /** How long a changed limit is among the recent changes. */
    static constexpr absl::Duration recentChangePeriod = absl::Seconds(2);

    /** Records what an answer to this host stated. Returns whether the limit changed. */
    bool record(const LimitReport &report);
    /** Records what another host has observed. Returns whether the limit changed. */
    bool merge(const LimitReport &report);
    /** Forgets the limits that no answer has stated for their lifetime. Returns whether there were any. */
    bool expire(absl::Time now);

    /** The limit of a run in requests per second, if it has one. */
    [[nodiscard]] std::optional<double> find(std::uint32_t run) const;
    /** All runs that have a limit. */
    [[nodiscard]] std::vector<LimitReport> limited() const;
    /** The statements that this host has received itself: the recent changes, or all that have not expired. */
    [[nodiscard]] std::vector<LimitReport> ownReports(bool recentOnly, absl::Time now) const;
    [[nodiscard]] bool empty() const;

private:
    struct Entry {
        LimitReport latest;
        /** When this host itself last received a statement of the run. */
        absl::Time ownObserved = absl::InfinitePast();
        absl::Time ownChanged = absl::InfinitePast();
    };

    absl::flat_hash_map<std::uint32_t, Entry> entries;
};

} // namespace Bergamotramp
