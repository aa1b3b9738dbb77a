#pragma once

#include <absl/time/time.h>

namespace Bergamotramp {

/**
 * The runner's lease on the chain of a job's result objects. While it is valid, no other host has stored results after the ones that
 * the runner knows. A store call which shows that no further object exists renews it. Times include the time for which the host was
 * suspended (see EventLoop::nowIncludingSuspend()).
 */
class ResultLease
{
public:
    static constexpr absl::Duration length = absl::Seconds(2);
    /** A new runner stores no results until this long after its fence, so that the leases of former runners have expired. */
    static constexpr absl::Duration successorDelay = absl::Milliseconds(2200);

    /** Renews the lease after a store call, sent at @p sent, that found or created the end of the chain. */
    void renew(absl::Time sent);
    /** Ends the lease: another host has written, or may be about to. */
    void revoke();
    [[nodiscard]] bool isValid(absl::Time now) const;

private:
    absl::Time validUntil = absl::InfinitePast();
};

} // namespace Bergamotramp
