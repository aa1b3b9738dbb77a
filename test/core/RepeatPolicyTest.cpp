#include "RepeatPolicy.h"

#include <gtest/gtest.h>

namespace Bergamotramp {

namespace {

const absl::Time start = absl::FromUnixSeconds(1'000'000);
const absl::Time deadline = start + absl::Seconds(5);

// Guards against a non-idempotent request that is sent again after it may have run.
TEST(RepeatPolicyTest, nonIdempotentIsRepeatedOnlyWhenItDidNotRun)
{
    RepeatPolicy policy(false, 3, deadline);
    EXPECT_TRUE(policy.mayRepeat(AttemptEnd::NotRun, start));
    EXPECT_EQ(policy.state(), CallState::NotRun);
    EXPECT_FALSE(policy.mayReplace(start));
    EXPECT_FALSE(policy.mayRepeat(AttemptEnd::MayHaveRun, start));
    EXPECT_EQ(policy.state(), CallState::MayHaveRun);
}

// Guards against more runs than the route allows, counting those that were replaced while they ran.
TEST(RepeatPolicyTest, runsAreBounded)
{
    RepeatPolicy policy(true, 2, deadline);
    EXPECT_TRUE(policy.mayReplace(start));
    policy.replaced();
    EXPECT_FALSE(policy.mayReplace(start));
    EXPECT_FALSE(policy.mayRepeat(AttemptEnd::Failed, start));
}

// Guards against an endless round of refusals, and against attempts that can't end in time.
TEST(RepeatPolicyTest, refusalsAndTimeAreBounded)
{
    RepeatPolicy policy(true, 2, deadline);
    int repeats = 0;
    while (policy.mayRepeat(AttemptEnd::NotRun, start)) {
        ++repeats;
    }
    EXPECT_EQ(repeats, RepeatPolicy::maxRefusals - 1);
    RepeatPolicy late(true, 2, deadline);
    EXPECT_FALSE(late.mayRepeat(AttemptEnd::NotRun, deadline - absl::Milliseconds(1)));
}

} // namespace

} // namespace Bergamotramp
