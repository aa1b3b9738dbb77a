#include "RetryPolicy.h"

#include <gtest/gtest.h>

namespace Bergamotramp {

namespace {

const absl::Time start = absl::FromUnixSeconds(1'000'000);
const absl::Time deadline = start + absl::Seconds(5);

// Guards against retrying a non-idempotent request that may have run.
TEST(RetryPolicyTest, nonIdempotentIsRetriedOnlyWhenItDidNotRun)
{
    RetryPolicy policy(false, 3, deadline);
    EXPECT_TRUE(policy.mayRetry(AttemptOutcome::NotRun, start));
    EXPECT_EQ(policy.state(), CallState::NotRun);
    EXPECT_FALSE(policy.mayReplace(start));
    EXPECT_FALSE(policy.mayRetry(AttemptOutcome::MayHaveRun, start));
    EXPECT_EQ(policy.state(), CallState::MayHaveRun);
}

// Guards against more attempts than the route allows; attempts that were replaced while running count, too.
TEST(RetryPolicyTest, attemptsAreLimited)
{
    RetryPolicy policy(true, 2, deadline);
    EXPECT_TRUE(policy.mayReplace(start));
    policy.recordReplacement();
    EXPECT_FALSE(policy.mayReplace(start));
    EXPECT_FALSE(policy.mayRetry(AttemptOutcome::Failed, start));
}

// Guards against endless retries after refusals, and against attempts that can't complete before the deadline.
TEST(RetryPolicyTest, refusalsAndTimeAreLimited)
{
    RetryPolicy policy(true, 2, deadline);
    int retries = 0;
    while (policy.mayRetry(AttemptOutcome::NotRun, start)) {
        ++retries;
    }
    EXPECT_EQ(retries, RetryPolicy::maxRefusals - 1);
    RetryPolicy late(true, 2, deadline);
    EXPECT_FALSE(late.mayRetry(AttemptOutcome::NotRun, deadline - absl::Milliseconds(1)));
}

} // namespace

} // namespace Bergamotramp
