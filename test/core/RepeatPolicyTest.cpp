#include "RepeatPolicy.h"

#include <gtest/gtest.h>

namespace Bergamotramp {

namespace {

const absl::Time start = absl::FromUnixSeconds(1'000'000);
const absl::Time deadline = start + absl::Seconds(5);

// Guards against retrying a non-idempotent request that may have run.
TEST(RepeatPolicyTest, nonIdempotentIsRetriedOnlyWhenItDidNotRun)
{
    RepeatPolicy policy(false, 3, deadline);
    EXPECT_TRUE(policy.mayRepeat(AttemptEnd::NotRun, start));
    EXPECT_EQ(policy.state(), CallState::NotRun);
    EXPECT_FALSE(policy.mayReplace(start));
    EXPECT_FALSE(policy.mayRepeat(AttemptEnd::MayHaveRun, start));
    EXPECT_EQ(policy.state(), CallState::MayHaveRun);
}

// Guards against more attempts than the route allows; attempts that were replaced while running count, too.
TEST(RepeatPolicyTest, attemptsAreLimited)
{
    RepeatPolicy policy(true, 2, deadline);
    EXPECT_TRUE(policy.mayReplace(start));
    policy.replaced();
    EXPECT_FALSE(policy.mayReplace(start));
    EXPECT_FALSE(policy.mayRepeat(AttemptEnd::Failed, start));
}

// Guards against endless retries after refusals, and against attempts that can't complete before the deadline.
TEST(RepeatPolicyTest, refusalsAndTimeAreLimited)
{
    RepeatPolicy policy(true, 2, deadline);
    int retries = 0;
    while (policy.mayRepeat(AttemptEnd::NotRun, start)) {
        ++retries;
    }
    EXPECT_EQ(retries, RepeatPolicy::maxRefusals - 1);
    RepeatPolicy late(true, 2, deadline);
    EXPECT_FALSE(late.mayRepeat(AttemptEnd::NotRun, deadline - absl::Milliseconds(1)));
}

} // namespace

} // namespace Bergamotramp
