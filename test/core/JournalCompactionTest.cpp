#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

#include "JournalSimulation.h"

namespace Bergamotramp {

namespace {

const absl::Time start = absl::FromUnixSeconds(1'700'000'000);

JournalIntent intentOf(const std::string &key, std::uint64_t request)
{
    return {key, 1, false, "host", request, absl::Seconds(9)};
}

JournalCompletion completionOf(const std::string &key)
{
    JournalCompletion completion{key, 1, {}, false};
    completion.result.set_body(absl::StrCat("result of ", key));
    return completion;
}

/** Records the intent and the result of a key. */
void runKey(JournalShard &shard, SimulatedStore &store, const std::string &key, absl::Time now)
{
    ASSERT_EQ(beginAndRun(shard, store, intentOf(key, 1), now).state(), wire::JOURNAL_STATE_NEW);
    ASSERT_EQ(runToCompletion(shard, store, shard.finish(2, completionOf(key), now), now).size(), 1U);
}

rc::Gen<Steps> genSteps(std::size_t count)
{
    const auto kind = rc::gen::weightedElement<int>({{1, 0}, {5, 1}, {5, 2}, {4, 3}, {1, 4}, {4, 5}, {1, 6}, {30, 7}, {1, 8}, {1, 9}});
    const auto step = rc::gen::tuple(kind, rc::gen::inRange<std::size_t>(0, 3), rc::gen::inRange(0, 12));
    return rc::gen::container<Steps>(count, step);
}

// Guards against a key that runs twice within its retention, a result that is deleted while it has to be kept, and a compaction that loses
// changes made while it runs. Takeovers, releases, pauses, lost responses and evictions for memory occur at random between any two steps.
TEST(JournalCompactionTest, keysAreKeptForTheirRetentionWhateverFails)
{
    SimulationLimits limits;
    limits.retention = {absl::Minutes(3), absl::Minutes(6)};
    // Memory for three of the six keys, and for no cached result.
    limits.memoryBytes = 320;
    limits.maxPartKeys = 1;
    int forgotten = 0;
    int refused = 0;
    int kept = 0;
    EXPECT_TRUE(rc::check("journal retention", [&] {
        const Steps steps = *genSteps(600);
        Simulation simulation(limits);
        for (const auto &[kind, host, choice] : steps) {
            simulation.step(kind, host, choice);
        }
        simulation.runWithoutFaults();
        RC_ASSERT(simulation.openRequests() == 0U);
        simulation.checkRetainedResults();
        forgotten += simulation.expiredResults;
        refused += simulation.refusedForMemory;
        kept += simulation.retainedResults;
    }));
    // Without these events the simulation would check nothing.
    EXPECT_GT(forgotten, 0);
    EXPECT_GT(refused, 0);
    EXPECT_GT(kept, 0);
}

// Guards against openings that accumulate when the holder changes many times.
TEST(JournalCompactionTest, manyChangesOfHolderLeaveFewObjects)
{
    SimulatedStore store;
    JournalShardSettings settings = makeSettings("first");
    settings.snapshotAfterObjects = 4;
    JournalShard first(settings);
    settings.host = "second";
    JournalShard second(settings);
    for (int change = 0; change < 50; ++change) {
        JournalShard &holder = change % 2 == 0 ? first : second;
        runToCompletion(holder, store, holder.takeOver(start), start);
        ASSERT_TRUE(holder.loaded());
        runToCompletion(holder, store, holder.release(start), start);
        ASSERT_FALSE(holder.active());
    }
    EXPECT_LT(store.size(), 12U);
}

// Guards against an opening that is deleted although the previous holder may still append, and against one that is kept after that holder
// has taken the shard over again.
TEST(JournalCompactionTest, openingIsKeptUntilThePreviousHolderCanNoLongerAppend)
{
    SimulatedStore store;
    JournalShardSettings settings = makeSettings("paused");
    settings.snapshotAfterObjects = 4;
    JournalShard paused(settings);
    runToCompletion(paused, store, paused.takeOver(start), start);
    settings.host = "other";
    JournalShard other(settings);
    for (int change = 0; change < 20; ++change) {
        runToCompletion(other, store, other.takeOver(start), start);
        ASSERT_EQ(beginAndRun(other, store, intentOf(absl::StrCat("key", change), 1), start).state(), wire::JOURNAL_STATE_NEW);
        runToCompletion(other, store, other.release(start), start);
    }
    const std::string fence = "journal/0/00000000000000000002";
    ASSERT_TRUE(store.get(fence).has_value());
    EXPECT_EQ(beginAndRun(paused, store, intentOf("new", 7), start).state(), wire::JOURNAL_STATE_NOT_HOLDER);
    runToCompletion(paused, store, paused.takeOver(start), start);
    for (int count = 0; count < 10; ++count) {
        ASSERT_EQ(beginAndRun(paused, store, intentOf(absl::StrCat("again", count), 1), start).state(), wire::JOURNAL_STATE_NEW);
    }
    EXPECT_FALSE(store.get(fence).has_value());
}

/** A shard that writes a snapshot of many parts. The test performs its writes one by one. */
class SnapshotTest : public testing::Test
{
protected:
    SnapshotTest()
    {
        this->settings.maxPartKeys = 10;
        this->settings.maxObjectBytes = 700;
        this->settings.snapshotAfterObjects = 100;
        this->shard.emplace(this->settings);
        runToCompletion(*this->shard, this->store, this->shard->takeOver(start), start);
    }

    /** Adds keys until the shard writes a snapshot's first part, and returns that write. */
    std::optional<JournalWriteObject> firstPart()
    {
        for (int count = 0; count < 200; ++count) {
            std::optional<JournalWriteObject> write = this->nextWrite(this->shard->begin(1, intentOf(absl::StrCat("key", count), 1), start));
            while (write.has_value() && !this->isSnapshotPart(*write)) {
                write = this->performWrite(*write);
            }
            if (write.has_value()) {
                return write;
            }
        }
        return std::nullopt;
    }

    [[nodiscard]] bool isSnapshotPart(const JournalWriteObject &write) const
    {
        return write.key.find("snapshot") != std::string::npos;
    }

    std::optional<JournalWriteObject> performWrite(const JournalWriteObject &write)
    {
        const WriteResult result = this->store.put(write.key, write.value, write.precondition, SimulatedStore::noFault);
        return this->nextWrite(this->shard->handleWriteResult(write.ticket, result, start));
    }

    /** Performs the reads among the actions and returns the first write that follows. */
    std::optional<JournalWriteObject> nextWrite(JournalActions actions)
    {
        for (std::size_t position = 0; position < actions.size(); ++position) {
            const JournalAction action = actions[position];
            if (const auto *write = std::get_if<JournalWriteObject>(&action)) {
                return *write;
            }
            if (const auto *read = std::get_if<JournalReadObject>(&action)) {
                const JournalActions more = this->shard->handleReadResult(read->ticket, {true, this->store.get(read->key)}, start);
                actions.insert(actions.end(), more.begin(), more.end());
            }
        }
        return std::nullopt;
    }

    SimulatedStore store;
    JournalShardSettings settings = makeSettings("host");
    std::optional<JournalShard> shard;
};

// Guards against requests that have to wait until a whole snapshot is written.
TEST_F(SnapshotTest, appendsAreWrittenBetweenSnapshotParts)
{
    std::optional<JournalWriteObject> write = this->firstPart();
    ASSERT_TRUE(write.has_value());
    this->shard->begin(99, intentOf("urgent", 1), start);
    write = this->performWrite(*write);
    ASSERT_TRUE(write.has_value());
    EXPECT_FALSE(this->isSnapshotPart(*write));
    wire::JournalObject object;
    ASSERT_TRUE(object.ParseFromString(write->value));
    ASSERT_EQ(object.entries_size(), 1);
    EXPECT_EQ(object.entries(0).key(), "urgent");
}

// Guards against keys that a snapshot loses because they change while it is written.
TEST_F(SnapshotTest, keysThatChangeDuringASnapshotAreKept)
{
    std::optional<JournalWriteObject> write = this->firstPart();
    for (int count = 0; write.has_value() && count < 100; ++count) {
        this->shard->finish(500 + static_cast<std::uint64_t>(count), completionOf(absl::StrCat("key", count % 90)), start);
        write = this->performWrite(*write);
    }
    while (write.has_value()) {
        write = this->performWrite(*write);
    }
    JournalShard next(makeSettings("next"));
    runToCompletion(next, this->store, next.takeOver(start), start);
    EXPECT_EQ(next.keyCount(), this->shard->keyCount());
    for (int count = 0; count < 90; ++count) {
        const std::vector<JournalReply> replies = runToCompletion(next, this->store, next.read(1, absl::StrCat("key", count), start), start);
        ASSERT_EQ(replies.size(), 1U);
        EXPECT_EQ(std::get<wire::JournalRecord>(replies[0].answer).state(), wire::JOURNAL_STATE_FINISHED);
    }
}

// Guards against memory use that grows with the results, and against results that a compaction loses.
TEST(JournalCompactionTest, resultsAreReadFromTheChain)
{
    SimulatedStore store;
    JournalShardSettings settings = makeSettings("host");
    settings.memoryBytes = 12'000;
    settings.snapshotAfterObjects = 8;
    JournalShard shard(settings);
    runToCompletion(shard, store, shard.takeOver(start), start);
    for (int count = 0; count < 100; ++count) {
        const std::string key = absl::StrCat("key", count);
        ASSERT_EQ(beginAndRun(shard, store, intentOf(key, 1), start).state(), wire::JOURNAL_STATE_NEW);
        JournalCompletion completion = completionOf(key);
        completion.result.mutable_body()->append(1000, 'x');
        runToCompletion(shard, store, shard.finish(2, completion, start), start);
    }
    EXPECT_LT(shard.memoryUsed(), 12'000U);
    const std::vector<JournalReply> replies = runToCompletion(shard, store, shard.read(3, "key0", start), start);
    ASSERT_EQ(replies.size(), 1U);
    const std::string object = std::get<wire::JournalRecord>(replies[0].answer).result().journal_object();
    ASSERT_TRUE(store.get(object).has_value());
    EXPECT_NE(store.get(object)->value.find("result of key0"), std::string::npos);
}

// Guards against keys that are evicted within the shortest retention to keep the memory limit, and against a limit that is not kept.
TEST(JournalCompactionTest, oldestKeysAreEvictedAfterTheShortestRetentionOnly)
{
    absl::Time now = start;
    SimulatedStore store;
    JournalShardSettings settings = makeSettings("host");
    settings.retention = {absl::Minutes(10), absl::Hours(1)};
    settings.memoryBytes = 2000;
    settings.snapshotAfterObjects = 4;
    JournalShard shard(settings);
    runToCompletion(shard, store, shard.takeOver(now), now);
    int accepted = 0;
    while (accepted < 100 && beginAndRun(shard, store, intentOf(absl::StrCat("key", accepted), 1), now).state() == wire::JOURNAL_STATE_NEW) {
        runToCompletion(shard, store, shard.finish(2, completionOf(absl::StrCat("key", accepted)), now), now);
        runToCompletion(shard, store, shard.tick(now), now);
        ++accepted;
    }
    ASSERT_GT(accepted, 10);
    ASSERT_LT(accepted, 40);
    const wire::JournalBegun refused = beginAndRun(shard, store, intentOf("refused", 1), now);
    EXPECT_EQ(refused.state(), wire::JOURNAL_STATE_UNAVAILABLE);
    EXPECT_TRUE(refused.not_recorded());
    EXPECT_EQ(beginAndRun(shard, store, intentOf("key0", 9), now).state(), wire::JOURNAL_STATE_FINISHED);
    // After the shortest retention the oldest keys are evicted for new ones.
    now += absl::Minutes(11);
    runToCompletion(shard, store, shard.tick(now), now);
    for (int count = 0; count < 5; ++count) {
        runKey(shard, store, absl::StrCat("late", count), now);
        runToCompletion(shard, store, shard.tick(now), now);
    }
    EXPECT_EQ(beginAndRun(shard, store, intentOf("late0", 9), now).state(), wire::JOURNAL_STATE_FINISHED);
    wire::JournalSnapshot root;
    ASSERT_TRUE(root.ParseFromString(store.get("journal/0/snapshot")->value));
    EXPECT_GE(root.evicted_us(), absl::ToUnixMicros(start));
    // An evicted key stays evicted after a takeover, although the chain may still contain its records.
    JournalShard next(makeSettings("next"));
    runToCompletion(next, store, next.takeOver(now), now);
    const std::vector<JournalReply> replies = runToCompletion(next, store, next.read(3, "key0", now), now);
    EXPECT_EQ(std::get<wire::JournalRecord>(replies.at(0).answer).state(), wire::JOURNAL_STATE_NOT_FOUND);
    EXPECT_LT(store.size(), 60U);
}

} // namespace

} // namespace Bergamotramp
