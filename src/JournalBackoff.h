#pragma once

#include <cstdint>
#include <string>

#include <absl/time/time.h>

namespace Bergamotramp {

/** Exponential backoff with jitter between the attempts of a store call. */
class JournalBackoff
{
public:
    /** @p name makes the jitter differ between shards and hosts. */
    JournalBackoff(std::string name, absl::Duration initialDelay, absl::Duration maxDelay);

    /** Schedules a retry. @p attempt makes the jitter differ between the attempts of a shard. */
    void scheduleRetry(std::uint64_t attempt, absl::Time now);
    void resetDelay();
    /** Whether a scheduled retry is due. If so, it is no longer scheduled. */
    bool takeDue(absl::Time now);
    /** Cancels a scheduled retry and resets the delay. */
    void clear();

private:
    const std::string name;
    const absl::Duration initialDelay;
    const absl::Duration maxDelay;
    absl::Duration delay;
    absl::Time retryAt = absl::InfiniteFuture();
};

} // namespace Bergamotramp
