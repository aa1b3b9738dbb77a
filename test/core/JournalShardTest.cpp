#include "JournalShard.h"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "JournalSimulation.h"

namespace Bergamotramp {

namespace {

rc::Gen<Steps> genSteps(std::size_t count)
{
    // Weights of the kinds of Simulation::step(). Store calls (7) are the most frequent; otherwise few requests would get a reply.
    const auto kind = rc::gen::weightedElement<int>({{1, 0}, {5, 1}, {4, 2}, {4, 3}, {1, 4}, {4, 5}, {1, 6}, {30, 7}});
    const auto step = rc::gen::tuple(kind, rc::gen::inRange<std::size_t>(0, 3), rc::gen::inRange(0, 12));
    return rc::gen::container<Steps>(count, step);
}

// Guards against a key whose run is granted to two hosts, a result that changes, and "never started" for a key that was started. Store
// faults, takeovers and pauses occur at random between any two steps.
TEST(JournalShardTest, keysRunOnceWhateverFails)
{
    std::size_t grants = 0;
    std::size_t results = 0;
    int neverStarted = 0;
    EXPECT_TRUE(rc::check("journal shard", [&] {
        const Steps steps = *genSteps(600);
        Simulation simulation(SimulationLimits{});
        for (const auto &[kind, host, choice] : steps) {
            simulation.step(kind, host, choice);
        }
        simulation.runWithoutFaults();
        RC_ASSERT(simulation.openRequests() == 0U);
        grants += simulation.grantCount();
        results += simulation.results.size();
        neverStarted += simulation.neverStarted;
    }));
    // Without grants and results the simulation would check nothing.
    EXPECT_GT(grants, 100U);
    EXPECT_GT(results, 50U);
    EXPECT_GT(neverStarted, 0);
}

rc::Gen<Steps> genStepsWithLostAnswers(std::size_t count)
{
    const auto kind =
        rc::gen::weightedElement<int>({{1, 0}, {3, 1}, {2, 2}, {4, 3}, {1, 4}, {4, 5}, {1, 6}, {30, 7}, {1, 8}, {4, 10}, {4, 11}, {2, 12}, {1, 13}});
    const auto step = rc::gen::tuple(kind, rc::gen::inRange<std::size_t>(0, 3), rc::gen::inRange(0, 12));
    return rc::gen::container<Steps>(count, step);
}

// Guards against a key that stays blocked although every host that began it has withdrawn its call, and against a withdrawal that frees a key
// whose request another call may have sent. Withdrawals are repeated, overtake their begins and reach former holders.
TEST(JournalShardTest, keysOfWithdrawnCallsRunInTheEnd)
{
    int withdrawnCalls = 0;
    int completedKeys = 0;
    EXPECT_TRUE(rc::check("withdrawn calls", [&] {
        const Steps steps = *genStepsWithLostAnswers(600);
        Simulation simulation(SimulationLimits{});
        for (const auto &[kind, host, choice] : steps) {
            simulation.step(kind, host, choice);
        }
        simulation.runWithoutFaults();
        simulation.checkWithdrawnKeysRun();
        withdrawnCalls += simulation.withdrawnCalls;
        completedKeys += simulation.completedKeys;
    }));
    // Without withdrawals and keys the simulation would check nothing.
    EXPECT_GT(withdrawnCalls, 100);
    EXPECT_GT(completedKeys, 50);
}

// Guards against a paused holder that can still append after a compaction deleted the later objects: its successor's opening must be kept.
TEST(JournalShardTest, pausedHolderFailsAfterCompaction)
{
    const absl::Time now = absl::FromUnixSeconds(1'700'000'000);
    SimulatedStore store;
    JournalShard first(makeSettings("first"));
    runToCompletion(first, store, first.takeOver(now), now);
    JournalShardSettings settings = makeSettings("second");
    settings.snapshotAfterObjects = 4;
    JournalShard second(settings);
    runToCompletion(second, store, second.takeOver(now), now);
    for (int count = 0; count < 20; ++count) {
        const JournalIntent intent{absl::StrCat("key", count), 1, false, "second", static_cast<std::uint64_t>(count + 1), absl::Seconds(9)};
        ASSERT_EQ(beginAndRun(second, store, intent, now).state(), wire::JOURNAL_STATE_NEW);
    }
    ASSERT_TRUE(store.get("journal/0/snapshot").has_value());
    EXPECT_LT(store.size(), 12U);
    EXPECT_EQ(beginAndRun(first, store, {"key1", 1, false, "first", 9, absl::Seconds(9)}, now).state(), wire::JOURNAL_STATE_NOT_HOLDER);
    EXPECT_FALSE(first.active());
    runToCompletion(first, store, first.takeOver(now), now);
    EXPECT_EQ(beginAndRun(first, store, {"key1", 1, false, "first", 9, absl::Seconds(9)}, now).state(), wire::JOURNAL_STATE_IN_PROGRESS);
    EXPECT_EQ(beginAndRun(first, store, {"key1", 2, false, "first", 9, absl::Seconds(9)}, now).state(), wire::JOURNAL_STATE_CONFLICT);
    EXPECT_EQ(beginAndRun(first, store, {"key1", 1, false, "first", 9, absl::Seconds(9)}, now + absl::Seconds(10)).state(), wire::JOURNAL_STATE_UNKNOWN);
}

// Guards against a former holder that refuses the result of an attempt it doesn't know. The host of the attempt would drop the result.
TEST(JournalShardTest, formerHolderDoesNotRefuseAResult)
{
    const absl::Time now = absl::FromUnixSeconds(1'700'000'000);
    SimulatedStore store;
    JournalShard first(makeSettings("first"));
    runToCompletion(first, store, first.takeOver(now), now);
    JournalShard second(makeSettings("second"));
    runToCompletion(second, store, second.takeOver(now), now);
    const wire::JournalBegun begun = beginAndRun(second, store, {"key", 1, false, "second", 1, absl::Seconds(9)}, now);
    ASSERT_EQ(begun.state(), wire::JOURNAL_STATE_NEW);
    const std::vector<JournalReply> replies = runToCompletion(first, store, first.finish(2, {"key", begun.attempt(), {}, false}, now), now);
    ASSERT_EQ(replies.size(), 1U);
    EXPECT_EQ(std::get<wire::JournalFinished>(replies[0].answer).state(), wire::JOURNAL_STATE_NOT_HOLDER);
}

// Guards against records that are kept beyond the retention, and against a snapshot in several parts that loses keys.
TEST(JournalShardTest, snapshotKeepsEntriesUntilRetention)
{
    absl::Time now = absl::FromUnixSeconds(1'700'000'000);
    SimulatedStore store;
    JournalShardSettings settings = makeSettings("first");
    settings.snapshotAfterObjects = 10;
    settings.maxObjectBytes = 200;
    JournalShard shard(settings);
    runToCompletion(shard, store, shard.takeOver(now), now);
    for (int count = 0; count < 35; ++count) {
        const JournalIntent intent{absl::StrCat("key", count), 1, true, "first", static_cast<std::uint64_t>(count + 1), absl::Seconds(9)};
        ASSERT_EQ(beginAndRun(shard, store, intent, now).state(), wire::JOURNAL_STATE_NEW);
    }
    JournalShard second(makeSettings("second"));
    runToCompletion(second, store, second.takeOver(now), now);
    EXPECT_EQ(second.keyCount(), 35U);
    now += absl::Hours(25);
    for (int count = 0; count < 30; ++count) {
        ASSERT_EQ(beginAndRun(shard, store, {absl::StrCat("late", count), 1, true, "first", 99, absl::Seconds(9)}, now).state(),
                  count == 0 ? wire::JOURNAL_STATE_NOT_HOLDER : wire::JOURNAL_STATE_NEW);
        runToCompletion(shard, store, shard.takeOver(now), now);
    }
    EXPECT_LE(shard.keyCount(), 29U);
}

} // namespace

} // namespace Bergamotramp
