#include "StopPlan.h"

#include <algorithm>

namespace Bergamotramp {

namespace {

// Callers cache an address for a few seconds, so a host accepts connections for this long after it has begun to stop.
constexpr absl::Duration acceptDuration = absl::Milliseconds(3500);
constexpr absl::Duration endBeforeGraceEnd = absl::Milliseconds(500);
constexpr absl::Duration closeIdleBeforeGraceEnd = absl::Milliseconds(1500);
// Reads that wait for results are answered first, because their answers may need a call to the store.
constexpr absl::Duration answerReadsBeforeGraceEnd = absl::Milliseconds(1300);
// Requests that are not complete, or still run, are answered while there is time to send the answers.
constexpr absl::Duration answerRequestsBeforeGraceEnd = absl::Milliseconds(800);
// Share of the grace period in which the host takes requests that may outlast it. Most requests end long before their time limit.
constexpr double shareForAnyRequest = 0.375;

} // namespace

StopPlan::StopPlan(absl::Time started, absl::Duration grace, absl::Duration addressLifetime)
    : startedAt(started), grace(grace), addressLifetime(addressLifetime)
{
}

absl::Time StopPlan::started() const
{
    return this->startedAt;
}

absl::Time StopPlan::stopAcceptingAt() const
{
    return this->startedAt + acceptDuration;
}

absl::Time StopPlan::closeIdleAt() const
{
    return this->startedAt + this->grace - closeIdleBeforeGraceEnd;
}

absl::Time StopPlan::answerReadsAt() const
{
    return this->startedAt + this->grace - answerReadsBeforeGraceEnd;
}

absl::Time StopPlan::answerRequestsAt() const
{
    return this->startedAt + this->grace - answerRequestsBeforeGraceEnd;
}

absl::Time StopPlan::endAt() const
{
    return this->startedAt + this->grace - endBeforeGraceEnd;
}

// A caller that still has the address from the directory could not know of the stop; its request has the same chance as one that came
// right before the signal. Any later request is taken only if it ends, or its time limit does, before the host has to cut it off.
bool StopPlan::mayTake(absl::Time now, absl::Time deadline) const
{
    const absl::Duration takesAny = std::min(this->addressLifetime, this->grace * shareForAnyRequest);
    return now <= this->startedAt + takesAny || deadline <= this->answerRequestsAt();
}

} // namespace Bergamotramp
