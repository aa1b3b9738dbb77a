#pragma once

#include <cstdint>
#include <string>

#include <absl/time/time.h>

namespace Bergamotramp {

/** Growing pauses between tries of a store call. */
class JournalPacing
{
public:
    /** @p name spreads the pauses of different shards and hosts. */
    JournalPacing(std::string name, absl::Duration first, absl::Duration longest);

    /** Schedules a retry; @p attempt spreads the pauses of one shard. */
    void failed(std::uint64_t attempt, absl::Time now);
    void succeeded();
    /** Whether a scheduled retry is due; it is then no longer scheduled. */
    bool takeDue(absl::Time now);
    /** Cancels a scheduled retry and returns to the first pause. */
    void clear();

private:
    const std::string name;
    const absl::Duration first;
    const absl::Duration longest;
    absl::Duration pause;
    absl::Time retryAt = absl::InfiniteFuture();
};

} // namespace Bergamotramp
