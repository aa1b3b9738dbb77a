#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

#include <absl/time/time.h>

#include "JournalKeyState.h"

namespace Bergamotramp {

/** How long keys are kept after their last attempt ended. */
struct JournalRetentionLimits {
    /** Never shorter. */
    absl::Duration shortest;
    /** Never longer; between the two, as long as the bytes allow. */
    absl::Duration longest;

    bool operator==(const JournalRetentionLimits &) const = default;
};

/** Decides which keys are gone: those that ended at or before the horizon, which only rises. */
class JournalRetention
{
public:
    explicit JournalRetention(JournalRetentionLimits limits);

    void add(const JournalKeyState &state);
    void remove(const JournalKeyState &state);
    [[nodiscard]] absl::Time horizon(absl::Time now) const;
    [[nodiscard]] bool gone(const JournalKeyState &state, absl::Time now) const;
    /** Takes over the horizon of a snapshot. */
    void raise(absl::Time horizon);
    /** Raises the horizon until about @p excess more of the oldest keys are gone, or the shortest retention forbids it. */
    void evict(std::size_t excess, absl::Time now);
    void clear();

private:
    [[nodiscard]] std::int64_t binOf(const JournalKeyState &state) const;

    const JournalRetentionLimits limits;
    const absl::Duration binWidth;
    absl::Time evicted = absl::InfinitePast();
    /** Keys by the time of their end. */
    std::map<std::int64_t, std::size_t> bins;
};

} // namespace Bergamotramp
