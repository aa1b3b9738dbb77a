#pragma once

#include <cstdint>

#include "CallOutcome.h"

namespace Bergamotramp {

/** What a host knows when an attempt has ended. */
struct AttemptFacts {
    CallOutcome outcome = CallOutcome::NotSent;
    /** HTTP status of a completed call. */
    int status = 0;
    bool idempotent = false;
    /** Attempts made so far, this one included. */
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

/** What follows from the end of an attempt. */
enum class AttemptVerdict {
    /** Pass the response on, even if it is an error of the upstream. */
    Answer,
    Retry,
    FailNotRun,
    FailUnknown,
};

AttemptVerdict judgeAttempt(const AttemptFacts &facts);

/** Whether the upstream's response asks for another attempt elsewhere. */
bool isRetryableStatus(int status);

} // namespace Bergamotramp
