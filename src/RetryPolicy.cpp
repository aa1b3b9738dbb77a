#include "RetryPolicy.h"

namespace Bergamotramp {

RetryPolicy::RetryPolicy(bool repeatable, int maxAttempts, absl::Time deadline) : repeatable(repeatable), maxAttempts(maxAttempts), deadline(deadline)
{
}

bool RetryPolicy::mayRetry(AttemptOutcome outcome, absl::Time now)
{
    const bool timeLeft = now + minTimeLeft < this->deadline;
    if (outcome == AttemptOutcome::NotRun) {
        ++this->refusals;
        return timeLeft && this->refusals < maxRefusals;
    }
    ++this->runs;
    return outcome != AttemptOutcome::Completed && this->repeatable && timeLeft && this->runs < this->maxAttempts;
}

bool RetryPolicy::mayReplace(absl::Time now, int running) const
{
    return this->repeatable && now + minTimeLeft < this->deadline && this->runs + running < this->maxAttempts;
}

void RetryPolicy::recordReplacement()
{
    ++this->runs;
}

CallState RetryPolicy::state() const
{
    return this->runs > 0 ? CallState::MayHaveRun : CallState::NotRun;
}

} // namespace Bergamotramp
