#include "StopPlan.h"

#include <gtest/gtest.h>

namespace Bergamotramp {

namespace {

const absl::Time signalTime = absl::FromUnixSeconds(1'000'000);
const StopPlan plan(signalTime, absl::Seconds(8), absl::Seconds(2));

bool takesAt(absl::Duration sinceSignal, absl::Duration timeLimit)
{
    return plan.mayTake(signalTime + sinceSignal, signalTime + sinceSignal + timeLimit);
}

// Guards against a late request that a stopping host passes on and then cuts off.
TEST(StopPlanTest, lateRequestIsTakenOnlyIfItsTimeLimitEndsInTime)
{
    EXPECT_TRUE(takesAt(absl::Milliseconds(2100), absl::Seconds(5)));
    EXPECT_FALSE(takesAt(absl::Seconds(3), absl::Seconds(5)));
    EXPECT_FALSE(takesAt(absl::Milliseconds(4200), absl::Seconds(5)));
    EXPECT_TRUE(takesAt(absl::Milliseconds(5500), absl::Milliseconds(1500)));
    EXPECT_FALSE(takesAt(absl::Milliseconds(6500), absl::Milliseconds(1500)));
    EXPECT_FALSE(takesAt(absl::Milliseconds(2100), absl::InfiniteDuration()));
}

// Guards against a refusal of callers that still use the address that the directory gave them right before the stop.
TEST(StopPlanTest, requestsAreTakenWhileCallersMayHoldTheAddress)
{
    EXPECT_TRUE(takesAt(absl::ZeroDuration(), absl::Minutes(1)));
    EXPECT_TRUE(takesAt(absl::Seconds(2), absl::Minutes(1)));
    const StopPlan longLived(signalTime, absl::Seconds(8), absl::Minutes(1));
    EXPECT_FALSE(longLived.mayTake(signalTime + absl::Milliseconds(3100), signalTime + absl::Minutes(1)));
}

// Guards against steps of a stop that come after the process has ended, or in an order in which answers are lost.
TEST(StopPlanTest, stepsComeInOrderBeforeTheGracePeriodEnds)
{
    EXPECT_LT(plan.closeIdleAt(), plan.answerReadsAt());
    EXPECT_LT(plan.answerReadsAt(), plan.answerRequestsAt());
    EXPECT_LT(plan.answerRequestsAt(), plan.endAt());
    EXPECT_LT(plan.endAt(), signalTime + absl::Seconds(8));
}

} // namespace

} // namespace Bergamotramp
