#include <gtest/gtest.h>

#include "CrashQuarantine.h"
#include "HedgePolicy.h"
#include "LatencyScore.h"
#include "RetryBudget.h"

namespace Bergamotramp {

namespace {

const absl::Time start = absl::FromUnixSeconds(1'000'000);
constexpr absl::Duration timeToDeadline = absl::Seconds(60);

LatencyScore scoresOf(std::size_t upstreams, std::size_t slow, int samples)
{
    LatencyScore scores;
    std::vector<std::string> names;
    for (std::size_t index = 0; index < upstreams; ++index) {
        names.push_back("u" + std::to_string(index));
    }
    scores.setUpstreams(names);
    for (int sample = 0; sample < samples; ++sample) {
        for (std::size_t index = 0; index < upstreams; ++index) {
            scores.record(names[index], absl::Milliseconds(index < slow ? 500 : 100), absl::ZeroDuration(), start);
        }
    }
    return scores;
}

TEST(LatencyScoreTest, slowUpstreamIsEjectedAndReadmittedByProbes)
{
    LatencyScore scores = scoresOf(6, 1, 6);
    EXPECT_TRUE(scores.ejected("u0"));
    EXPECT_NEAR(scores.score("u0", start), 5.0, 0.01);
    EXPECT_FALSE(scores.ejected("u1"));
    scores.record("u0", absl::Milliseconds(100), absl::ZeroDuration(), start);
    EXPECT_TRUE(scores.ejected("u0")) << "one fast probe is not enough";
    scores.record("u0", absl::Milliseconds(100), absl::ZeroDuration(), start);
    EXPECT_FALSE(scores.ejected("u0"));
}

// Guards against a slow upstream that stays in use because all its requests lose to hedges, and against ejection
// because of attempts that were cancelled for other reasons.
TEST(LatencyScoreTest, slowCancelledAttemptsEject)
{
    LatencyScore scores = scoresOf(6, 0, 6);
    for (int attempt = 0; attempt < 10; ++attempt) {
        scores.recordCancelled("u0", absl::Milliseconds(130), absl::ZeroDuration(), start);
    }
    EXPECT_NEAR(scores.score("u0", start), 1.0, 0.01) << "latencies near the median are ignored";
    for (int attempt = 0; attempt < 3; ++attempt) {
        EXPECT_FALSE(scores.ejected("u0"));
        scores.recordCancelled("u0", absl::Milliseconds(350), absl::ZeroDuration(), start);
    }
    EXPECT_TRUE(scores.ejected("u0"));
}

// Guards against ejecting too much of a pool when many upstreams are slow at once.
TEST(LatencyScoreTest, ejectsAtMostAThird)
{
    const LatencyScore scores = scoresOf(9, 4, 10);
    int ejected = 0;
    for (int index = 0; index < 9; ++index) {
        ejected += scores.ejected("u" + std::to_string(index)) ? 1 : 0;
    }
    EXPECT_EQ(ejected, 3);
}

// Guards against an upstream that is avoided for ever because it gets no requests that could improve its score.
TEST(LatencyScoreTest, scoreDecaysWithoutNewSamples)
{
    const LatencyScore scores = scoresOf(2, 1, 4);
    EXPECT_LT(scores.score("u1", start + absl::Minutes(2)) / scores.score("u0", start + absl::Minutes(2)), 1.01);
    EXPECT_GT(scores.score("u0", start) / scores.score("u1", start), 4.9);
}

// Guards against retries that multiply the load during an outage.
TEST(RetryBudgetTest, repeatsStayWithinTheShare)
{
    RetryBudget budget(0.1);
    int repeats = 0;
    for (int request = 0; request < 1000; ++request) {
        budget.onRequest(start);
        repeats += budget.tryRepeat(start, start + absl::Seconds(1)) ? 1 : 0;
    }
    // A tenth of the requests, and the burst that a full budget allows.
    EXPECT_LE(repeats, 100 + RetryBudget::maxTokens);
    EXPECT_GE(repeats, 95);
}

TEST(RetryBudgetTest, noRepeatAfterTheDeadline)
{
    RetryBudget budget(0.1);
    EXPECT_FALSE(budget.tryRepeat(start, start));
}

TEST(HedgePolicyTest, hedgesAfterTheMeasuredPercentile)
{
    HedgePolicy policy(RepeatLimits{});
    EXPECT_FALSE(policy.tryHedge(true, absl::Seconds(10), start, start + timeToDeadline)) << "nothing is measured yet";
    for (int request = 0; request < 200; ++request) {
        policy.onRequest(start);
        policy.recordFirstToken(absl::Milliseconds(request % 100 < 90 ? 100 : 400));
    }
    const std::optional<absl::Duration> delay = policy.delay();
    ASSERT_TRUE(delay.has_value());
    EXPECT_GE(*delay, absl::Milliseconds(400));
    EXPECT_LE(*delay, absl::Milliseconds(455));
    EXPECT_FALSE(policy.tryHedge(true, absl::Milliseconds(390), start, start + timeToDeadline));
    EXPECT_FALSE(policy.tryHedge(false, absl::Seconds(1), start, start + timeToDeadline)) << "not idempotent";
    EXPECT_TRUE(policy.tryHedge(true, absl::Seconds(1), start, start + timeToDeadline));
}

// Guards against ordinary variation that uses up the hedge budget, so that nothing is left when an upstream becomes
// slow.
TEST(HedgePolicyTest, doesNotHedgeOrdinaryVariation)
{
    HedgePolicy policy(RepeatLimits{});
    for (int request = 0; request < 200; ++request) {
        policy.recordFirstToken(absl::Milliseconds(100 + request % 20));
    }
    ASSERT_TRUE(policy.delay().has_value());
    EXPECT_GE(*policy.delay(), absl::Milliseconds(250));
}

// Guards against hedges that cannot end before the slow stream, and against more of them than the budget allows.
TEST(HedgePolicyTest, hedgesOnlySlowStreamsThatEndLaterThanANewAttempt)
{
    HedgePolicy policy(RepeatLimits{});
    const auto slow = [](std::uint32_t tokens) { return StreamProgress{tokens, 64, absl::Milliseconds(50)}; };
    EXPECT_FALSE(policy.slowInterval().has_value());
    EXPECT_FALSE(policy.tryHedgeSlowStream(slow(5), start, start + timeToDeadline)) << "nothing is measured yet";
    for (int request = 0; request < 100; ++request) {
        policy.recordFirstToken(absl::Milliseconds(20));
        policy.recordInterval(absl::Milliseconds(10));
    }
    ASSERT_TRUE(policy.slowInterval().has_value());
    EXPECT_GE(*policy.slowInterval(), absl::Milliseconds(25));
    EXPECT_LE(*policy.slowInterval(), absl::Milliseconds(29));
    EXPECT_FALSE(policy.tryHedgeSlowStream({5, 64, absl::Milliseconds(15)}, start, start + timeToDeadline)) << "not slow";
    EXPECT_FALSE(policy.tryHedgeSlowStream(slow(60), start, start + timeToDeadline)) << "nearly done";
    EXPECT_FALSE(policy.tryHedgeSlowStream(slow(5), start, start)) << "no time left";
    int granted = 0;
    for (int request = 0; request < 10; ++request) {
        granted += policy.tryHedgeSlowStream(slow(5), start, start + timeToDeadline) ? 1 : 0;
    }
    EXPECT_EQ(granted, 3) << "the budget of a new service";
}

// Guards against an unbounded table, and against many harmless suspects that evict a quarantined request.
TEST(CrashQuarantineTest, keepsQuarantinedWhenFull)
{
    CrashQuarantine quarantine;
    quarantine.merge(1, CrashQuarantine::crashesToQuarantine, start);
    for (std::uint64_t fingerprint = 2; fingerprint < CrashQuarantine::maxFingerprints + 100; ++fingerprint) {
        quarantine.recordCrash(fingerprint, "upstream", start, start + absl::Seconds(1));
    }
    EXPECT_EQ(quarantine.size(), CrashQuarantine::maxFingerprints);
    EXPECT_TRUE(quarantine.isQuarantined(1, start + absl::Seconds(2)));
}

TEST(CrashQuarantineTest, twoCopiesOnOneUpstreamAreOneCrash)
{
    CrashQuarantine quarantine;
    for (const std::uint64_t fingerprint : {4, 4, 0}) {
        quarantine.recordCrash(fingerprint, "upstream", start, start);
    }
    EXPECT_TRUE(quarantine.isSuspect(4, start));
    EXPECT_FALSE(quarantine.isQuarantined(4, start));
    EXPECT_FALSE(quarantine.isSuspect(0, start));
}

// Guards against a harmless request that is quarantined because upstreams were restarted twice while it ran.
TEST(CrashQuarantineTest, secondCrashDelaysForLongerAndDoesNotQuarantine)
{
    CrashQuarantine quarantine;
    quarantine.recordCrash(4, "upstream", start, start);
    const absl::Time second = start + CrashQuarantine::suspectRetryDelay;
    EXPECT_TRUE(quarantine.mayRetry(4, second));
    quarantine.recordCrash(4, "upstream", second, second);
    EXPECT_FALSE(quarantine.isQuarantined(4, second));
    EXPECT_FALSE(quarantine.mayRetry(4, second + CrashQuarantine::suspectRetryDelay));
    EXPECT_TRUE(quarantine.mayRetry(4, second + CrashQuarantine::repeatedSuspectRetryDelay));
    const absl::Time third = second + CrashQuarantine::repeatedSuspectRetryDelay;
    quarantine.recordCrash(4, "upstream", third, third);
    EXPECT_TRUE(quarantine.isQuarantined(4, third));
}

TEST(CrashQuarantineTest, clearRemovesSuspectsButNotQuarantinedRequests)
{
    CrashQuarantine quarantine;
    quarantine.merge(4, 1, start);
    EXPECT_TRUE(quarantine.merge(4, 0, start));
    EXPECT_FALSE(quarantine.isSuspect(4, start));
    quarantine.merge(5, CrashQuarantine::crashesToQuarantine, start);
    EXPECT_FALSE(quarantine.merge(5, 0, start));
    EXPECT_TRUE(quarantine.isQuarantined(5, start));
}

} // namespace

} // namespace Bergamotramp
