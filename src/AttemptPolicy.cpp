#include "AttemptPolicy.h"

namespace Bergamotramp {

namespace {

constexpr int statusTooManyRequests = 429;
constexpr int firstServerError = 500;

bool withinRetryLimits(const AttemptFacts &facts)
{
    return facts.attempts < facts.maxAttempts && facts.timeLeft && facts.budgetLeft;
}

} // namespace

bool isRetryableStatus(int status)
{
    return status == statusTooManyRequests || status >= firstServerError;
}

AttemptVerdict judgeAttempt(const AttemptFacts &facts)
{
    switch (facts.outcome) {
    case CallOutcome::Completed:
        // Any response proves that the upstream accepted the request, so a non-idempotent request is not retried, whatever the status is.
        return facts.idempotent && isRetryableStatus(facts.status) && withinRetryLimits(facts) ? AttemptVerdict::Retry : AttemptVerdict::Answer;
    case CallOutcome::NotSent:
        if (withinRetryLimits(facts)) {
            return AttemptVerdict::Retry;
        }
        return facts.earlierMayHaveRun ? AttemptVerdict::FailUnknown : AttemptVerdict::FailNotRun;
    case CallOutcome::Broken:
    case CallOutcome::Silent:
        return facts.idempotent && withinRetryLimits(facts) ? AttemptVerdict::Retry : AttemptVerdict::FailUnknown;
    case CallOutcome::Cancelled:
        break;
    }
    return AttemptVerdict::FailUnknown;
}

} // namespace Bergamotramp
