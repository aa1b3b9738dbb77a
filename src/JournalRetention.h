#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

#include <absl/time/time.h>

#include "JournalKeyState.h"

namespace Bergamotramp {

/** How long keys are kept after their last attempt ended. */
struct JournalRetentionLimits {
    /** Keys are kept at least this long. */
    absl::Duration shortest;
    /** Keys are kept at most this long, and less long when the memory for the index runs out. */
    absl::Duration longest;

    bool operator==(const JournalRetentionLimits &) const = default;
};

/** Decides which keys have expired: those that ended at or before the expiry horizon, a time that only rises. */
class JournalRetention
{
public:
    explicit JournalRetention(JournalRetentionLimits limits);

    void add(const JournalKeyState &state);
    void remove(const JournalKeyState &state);
    [[nodiscard]] absl::Time expiryHorizon(absl::Time now) const;
    [[nodiscard]] bool isExpired(const JournalKeyState &state, absl::Time now) const;
    /** Raises the horizon to at least @p horizon, such as that of a loaded snapshot. */
    void raiseHorizon(absl::Time horizon);
    /** Raises the horizon until about @p excess more of the oldest keys have expired, as far as the shortest retention allows. */
    void evict(std::size_t excess, absl::Time now);
    void clear();

private:
    [[nodiscard]] std::int64_t binOf(const JournalKeyState &state) const;

    const JournalRetentionLimits limits;
    const absl::Duration binWidth;
    absl::Time evictedUntil = absl::InfinitePast();
    /** Number of keys by the end of their last attempt, in intervals of binWidth. */
    std::map<std::int64_t, std::size_t> bins;
};

} // namespace Bergamotramp
