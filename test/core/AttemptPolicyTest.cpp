#include "AttemptPolicy.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace Bergamotramp {

namespace {

AttemptFacts arbitraryFacts()
{
    AttemptFacts facts;
    facts.outcome = *rc::gen::element(CallOutcome::Completed, CallOutcome::NotSent, CallOutcome::ConnectionLost, CallOutcome::TimedOut, CallOutcome::Cancelled);
    facts.status = *rc::gen::element(0, 200, 400, 429, 500, 503);
    facts.idempotent = *rc::gen::arbitrary<bool>();
    facts.attempts = *rc::gen::inRange(1, 5);
    facts.maxAttempts = *rc::gen::inRange(1, 5);
    facts.timeLeft = *rc::gen::arbitrary<bool>();
    facts.budgetLeft = *rc::gen::arbitrary<bool>();
    facts.earlierMayHaveRun = *rc::gen::arbitrary<bool>();
    return facts;
}

// Guards against retrying a non-idempotent request that may have run.
TEST(AttemptPolicyTest, nonIdempotentRequestIsRetriedOnlyWhenNothingWasSent)
{
    EXPECT_TRUE(rc::check([] {
        AttemptFacts facts = arbitraryFacts();
        facts.idempotent = false;
        if (decideAfterAttempt(facts) == AttemptDecision::Retry) {
            RC_ASSERT(facts.outcome == CallOutcome::NotSent);
        }
    }));
}

// Guards against an error that states "not run" although an attempt may have reached an upstream.
TEST(AttemptPolicyTest, notRunIsReportedOnlyWhenNoAttemptWasSent)
{
    EXPECT_TRUE(rc::check([] {
        const AttemptFacts facts = arbitraryFacts();
        if (decideAfterAttempt(facts) == AttemptDecision::FailNotRun) {
            RC_ASSERT(facts.outcome == CallOutcome::NotSent);
            RC_ASSERT(!facts.earlierMayHaveRun);
        }
    }));
}

// Guards against retries after the deadline, beyond the maximum number of attempts or beyond the retry budget.
TEST(AttemptPolicyTest, noRetryBeyondALimit)
{
    EXPECT_TRUE(rc::check([] {
        const AttemptFacts facts = arbitraryFacts();
        if (decideAfterAttempt(facts) == AttemptDecision::Retry) {
            RC_ASSERT(facts.timeLeft && facts.budgetLeft && facts.attempts < facts.maxAttempts);
        }
    }));
}

TEST(AttemptPolicyTest, upstreamErrorIsForwardedWhenNoRetryIsPossible)
{
    EXPECT_EQ(decideAfterAttempt({CallOutcome::Completed, 500, true, 3, 3, true, true, false}), AttemptDecision::ForwardResponse);
    EXPECT_EQ(decideAfterAttempt({CallOutcome::Completed, 500, true, 1, 3, true, true, false}), AttemptDecision::Retry);
    EXPECT_EQ(decideAfterAttempt({CallOutcome::Completed, 404, true, 1, 3, true, true, false}), AttemptDecision::ForwardResponse);
}

} // namespace

} // namespace Bergamotramp
