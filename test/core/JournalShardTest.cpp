#include "JournalShard.h"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "JournalSimulation.h"

namespace Bergamotramp {

namespace {

rc::Gen<Steps> genSteps(std::size_t count)
{
    // Calls of the store are the most frequent kind, or nothing would get done.
    const auto kind = rc::gen::weightedElement<int>({{1, 0}, {5, 1}, {4, 2}, {4, 3}, {1, 4}, {4, 5}, {1, 6}, {30, 7}});
    const auto step = rc::gen::tuple(kind, rc::gen::inRange<std::size_t>(0, 3), rc::gen::inRange(0, 12));
    return rc::gen::container<Steps>(count, step);
}

// Guards against a key handed to two hosts, a result that changes, and "never started" for a key that was started, whatever the store's
// answers, takeovers and pauses between any two steps.
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
        simulation.settle();
        RC_ASSERT(simulation.openRequests() == 0U);
        grants += simulation.grantCount();
        results += simulation.results.size();
        neverStarted += simulation.neverStarted;
    }));
    // A simulation that never gets anywhere would check nothing.
    EXPECT_GT(grants, 100U);
    EXPECT_GT(results, 50U);
    EXPECT_GT(neverStarted, 0);
}

// Guards against a paused holder whose next number was compacted away: it must still meet the opening of its successor.
TEST(JournalShardTest, pausedHolderFailsAfterCompaction)
{
    const absl::Time now = absl::FromUnixSeconds(1'700'000'000);
    SimulatedStore store;
    JournalShard first(settingsOf("first"));
    runToEnd(first, store, first.takeOver(now), now);
    JournalShardSettings settings = settingsOf("second");
    settings.snapshotObjects = 4;
    JournalShard second(settings);
    runToEnd(second, store, second.takeOver(now), now);
    for (int count = 0; count < 20; ++count) {
        const JournalIntent intent{absl::StrCat("key", count), 1, false, "second", static_cast<std::uint64_t>(count + 1), absl::Seconds(9)};
        ASSERT_EQ(beginOf(second, store, intent, now).state(), wire::JOURNAL_STATE_NEW);
    }
    ASSERT_TRUE(store.get("journal/0/snapshot").has_value());
    EXPECT_LT(store.size(), 12U);
    EXPECT_EQ(beginOf(first, store, {"key1", 1, false, "first", 9, absl::Seconds(9)}, now).state(), wire::JOURNAL_STATE_NOT_HOLDER);
    EXPECT_FALSE(first.active());
    runToEnd(first, store, first.takeOver(now), now);
    EXPECT_EQ(beginOf(first, store, {"key1", 1, false, "first", 9, absl::Seconds(9)}, now).state(), wire::JOURNAL_STATE_IN_PROGRESS);
    EXPECT_EQ(beginOf(first, store, {"key1", 2, false, "first", 9, absl::Seconds(9)}, now).state(), wire::JOURNAL_STATE_CONFLICT);
    EXPECT_EQ(beginOf(first, store, {"key1", 1, false, "first", 9, absl::Seconds(9)}, now + absl::Seconds(10)).state(), wire::JOURNAL_STATE_UNKNOWN);
}

// Guards against records that outlive the retention, and against a snapshot in several parts that loses entries.
TEST(JournalShardTest, snapshotKeepsEntriesUntilRetention)
{
    absl::Time now = absl::FromUnixSeconds(1'700'000'000);
    SimulatedStore store;
    JournalShardSettings settings = settingsOf("first");
    settings.snapshotObjects = 10;
    settings.objectBytes = 200;
    JournalShard shard(settings);
    runToEnd(shard, store, shard.takeOver(now), now);
    for (int count = 0; count < 35; ++count) {
        const JournalIntent intent{absl::StrCat("key", count), 1, true, "first", static_cast<std::uint64_t>(count + 1), absl::Seconds(9)};
        ASSERT_EQ(beginOf(shard, store, intent, now).state(), wire::JOURNAL_STATE_NEW);
    }
    JournalShard second(settingsOf("second"));
    runToEnd(second, store, second.takeOver(now), now);
    EXPECT_EQ(second.entryCount(), 35U);
    now += absl::Hours(25);
    for (int count = 0; count < 30; ++count) {
        ASSERT_EQ(beginOf(shard, store, {absl::StrCat("late", count), 1, true, "first", 99, absl::Seconds(9)}, now).state(),
                  count == 0 ? wire::JOURNAL_STATE_NOT_HOLDER : wire::JOURNAL_STATE_NEW);
        runToEnd(shard, store, shard.takeOver(now), now);
    }
    EXPECT_LE(shard.entryCount(), 29U);
}

} // namespace

} // namespace Bergamotramp
