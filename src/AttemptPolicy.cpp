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

AttemptDecision decideAfterAttempt(const AttemptFacts &facts)
{
    switch (facts.outcome) {
    case CallOutcome::Completed:
        // Any response proves that the upstream accepted the request, so a non-idempotent request is not retried, whatever the status is.
        return facts.idempotent && isRetryableStatus(facts.status) && withinRetryLimits(facts) ? AttemptDecision::Retry : AttemptDecision::ForwardResponse;
    case CallOutcome::NotSent:
        if (withinRetryLimits(facts)) {
            return AttemptDecision::Retry;
        }
        return facts.earlierMayHaveRun ? AttemptDecision::FailUnknown : AttemptDecision::FailNotRun;
    case CallOutcome::ConnectionLost:
    case CallOutcome::TimedOut:
        return facts.idempotent && withinRetryLimits(facts) ? AttemptDecision::Retry : AttemptDecision::FailUnknown;
    case CallOutcome::Cancelled:
        break;
    }
    return AttemptDecision::FailUnknown;
}

} // namespace Bergamotramp
