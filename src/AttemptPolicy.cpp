#include "AttemptPolicy.h"

namespace Bergamotramp {

namespace {

constexpr int statusTooManyRequests = 429;
constexpr int firstServerError = 500;

bool mayRepeat(const AttemptFacts &facts)
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
        // A response proves that a non-idempotent request was taken, whatever its status says.
        return facts.idempotent && isRetryableStatus(facts.status) && mayRepeat(facts) ? AttemptVerdict::Retry : AttemptVerdict::Answer;
    case CallOutcome::NotSent:
        if (mayRepeat(facts)) {
            return AttemptVerdict::Retry;
        }
        return facts.earlierMayHaveRun ? AttemptVerdict::FailUnknown : AttemptVerdict::FailNotRun;
    case CallOutcome::Broken:
    case CallOutcome::Silent:
        return facts.idempotent && mayRepeat(facts) ? AttemptVerdict::Retry : AttemptVerdict::FailUnknown;
    case CallOutcome::Cancelled:
        break;
    }
    return AttemptVerdict::FailUnknown;
}

} // namespace Bergamotramp
