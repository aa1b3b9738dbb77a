#pragma once

#include <cstdint>

#include "CallOutcome.h"

namespace Bergamotramp {

/** What a host knows about a request when an attempt has ended. */
struct AttemptFacts {
    CallOutcome outcome = CallOutcome::NotSent;
    /** HTTP status of a completed call. */
    int status = 0;
    bool idempotent = false;
    /** Attempts made so far, including this one. */
    std::int64_t attempts = 1;
    std::int64_t maxAttempts = 1;
    /** Whether there is time before the deadline for another attempt. */
    bool timeLeft = false;
    /** Whether the service's retry budget allows another attempt. */
    bool budgetLeft = false;
    /** Whether an earlier attempt, of this host or another one, may have run the request. */
    bool earlierMayHaveRun = false;

    bool operator==(const AttemptFacts &) const = default;
};

/** What a ModelExchange or PlainExchange does after an attempt has ended. OnlineCall uses RetryPolicy instead. */
enum class AttemptDecision {
    /** Forward the upstream's response to the caller, even if it is an error. */
    ForwardResponse,
    Retry,
    /** Report an error that states that the request has not run. */
    FailNotRun,
    /** Report an error that states that the request may have run. */
    FailUnknown,
};

AttemptDecision decideAfterAttempt(const AttemptFacts &facts);

/** Whether an idempotent request may be retried after a response with this status. */
bool isRetryableStatus(int status);

} // namespace Bergamotramp
