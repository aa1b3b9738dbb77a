#include "RepeatPolicy.h"

namespace Bergamotramp {

RepeatPolicy::RepeatPolicy(bool repeatable, int maxAttempts, absl::Time deadline) : repeatable(repeatable), maxAttempts(maxAttempts), deadline(deadline)
{
}

bool RepeatPolicy::mayRepeat(AttemptEnd outcome, absl::Time now)
{
    const bool timeLeft = now + minTimeLeft < this->deadline;
    if (outcome == AttemptEnd::NotRun) {
        ++this->refusals;
        return timeLeft && this->refusals < maxRefusals;
    }
    ++this->runs;
    return outcome != AttemptEnd::Completed && this->repeatable && timeLeft && this->runs < this->maxAttempts;
}

bool RepeatPolicy::mayReplace(absl::Time now) const
{
    return this->repeatable && now + minTimeLeft < this->deadline && this->runs + 1 < this->maxAttempts;
}

void RepeatPolicy::replaced()
{
    ++this->runs;
}

CallState RepeatPolicy::state() const
{
    return this->runs > 0 ? CallState::MayHaveRun : CallState::NotRun;
}

} // namespace Bergamotramp
