#include "BatchSegment.h"

#include <map>
#include <memory>
#include <set>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include "JobInput.h"

namespace Bergamotramp {

namespace {

constexpr std::int64_t itemCount = 6;
constexpr std::int64_t maxAttempts = 3;
const JobId job{"coop", "job"};

/** Stands in for the store: conditional updates of one segment's progress record, whose response may be lost, and its output parts. */
class SegmentStore
{
public:
    WriteResult putProgress(const SegmentProgress &progress, Precondition precondition, bool loseResponse)
    {
        const std::uint64_t version = this->stored ? this->stored->version : 0;
        const bool conditionHolds = precondition.kind == Precondition::Kind::Absent ? version == 0 : precondition.version == version;
        if (!conditionHolds) {
            return {WriteOutcome::Conflict, 0};
        }
        this->stored = StoredObject{job.progressKey(0), progress.toJsonText(), version + 1};
        return loseResponse ? WriteResult{WriteOutcome::Unanswered, 0} : WriteResult{WriteOutcome::Applied, version + 1};
    }

    std::optional<StoredObject> stored;
    std::map<std::string, std::string> outputs;
};

std::vector<SegmentItem> makeItems()
{
    std::vector<SegmentItem> items;
    for (int index = 0; index < itemCount; ++index) {
        items.push_back({"item-" + std::to_string(index), "{}"});
    }
    return items;
}

/** A host that works on the segment. */
struct Worker {
    explicit Worker(std::string name) : name(std::move(name))
    {
    }

    std::string name;
    std::unique_ptr<BatchSegment> segment;
    std::vector<std::size_t> running;
    std::optional<SegmentCommit> commit;

    void claim(SegmentStore &store)
    {
        const auto plan = SegmentClaim::plan(store.stored, itemCount, this->name, 1, false);
        if (!plan) {
            return;
        }
        const WriteResult result = store.putProgress(plan->progress, plan->precondition, false);
        if (result.outcome == WriteOutcome::Applied) {
            this->segment = std::make_unique<BatchSegment>(makeItems(), plan->progress, result.version, maxAttempts);
            this->running.clear();
            this->commit.reset();
        }
    }

    void step(SegmentStore &store, absl::Time now)
    {
        switch (*rc::gen::inRange(0, 5)) {
        case 0:
            if (const auto index = this->segment->nextItem(now)) {
                this->running.push_back(*index);
            }
            return;
        case 1:
            this->finishItem(now);
            return;
        case 2:
            if (auto next = this->segment->nextCommit(*rc::gen::weightedOneOf<bool>({{9, rc::gen::just(false)}, {1, rc::gen::just(true)}}))) {
                this->commit = next;
            }
            return;
        case 3:
            this->writeCommit(store);
            return;
        default:
            if (this->segment->needsReadBack()) {
                this->segment->applyReadBack(store.stored);
            }
        }
    }

    void finishItem(absl::Time now)
    {
        if (this->running.empty()) {
            return;
        }
        const std::size_t index = this->running.back();
        this->running.pop_back();
        const auto kind = *rc::gen::element(ItemOutcome::Kind::Completed, ItemOutcome::Kind::Retryable, ItemOutcome::Kind::Failed, ItemOutcome::Kind::Requeued);
        this->segment->itemEnded(index, {kind, this->name}, now);
    }

    void writeCommit(SegmentStore &store)
    {
        if (!this->commit) {
            return;
        }
        const SegmentCommit pending = *std::exchange(this->commit, std::nullopt);
        if (*rc::gen::inRange(0, 6) == 0) {
            this->segment->commitSettled({WriteOutcome::Unavailable, 0});
            return;
        }
        if (!pending.part.empty()) {
            store.outputs[pending.part] = pending.outputText;
        }
        const bool loseResponse = *rc::gen::inRange(0, 4) == 0;
        this->segment->commitSettled(store.putProgress(pending.progress, Precondition::at(pending.expectedVersion), loseResponse));
    }
};

/** Checks that each finished item, and no other, has exactly one result in the output parts that the progress record lists. */
void checkResults(const SegmentStore &store)
{
    if (!store.stored) {
        return;
    }
    const SegmentProgress progress = SegmentProgress::fromJsonText(store.stored->value);
    std::multiset<std::string> results;
    for (const std::string &part : progress.outputs) {
        std::istringstream lines(store.outputs.at(part));
        for (std::string line; std::getline(lines, line);) {
            results.insert(nlohmann::json::parse(line).at("custom_id").get<std::string>());
        }
    }
    for (std::size_t index = 0; index < progress.items.size(); ++index) {
        const bool finished = progress.items[index] != SegmentProgress::openItem;
        RC_ASSERT(results.count("item-" + std::to_string(index)) == (finished ? 1U : 0U));
    }
}

// Guards against results that are lost or stored twice when another host claims the segment, a response of the store is lost, or a paused host
// continues.
TEST(BatchSegmentTest, everyFinishedItemHasExactlyOneResult)
{
    EXPECT_TRUE(rc::check([] {
        SegmentStore store;
        std::vector<Worker> workers;
        workers.emplace_back("host-1");
        workers.emplace_back("host-2");
        absl::Time now = absl::UnixEpoch();
        for (int step = 0; step < 120; ++step) {
            now += absl::Seconds(2);
            Worker &worker = workers[*rc::gen::inRange<std::size_t>(0, 2)];
            if (!worker.segment || *rc::gen::inRange(0, 12) == 0) {
                worker.claim(store);
            } else {
                worker.step(store, now);
            }
            checkResults(store);
        }
    }));
}

// Guards against a commit that the store accepts after the segment of a cancelled job was closed.
TEST(BatchSegmentTest, nothingIsCommittedAfterTheSegmentIsClosed)
{
    EXPECT_TRUE(rc::check([] {
        SegmentStore store;
        Worker worker("host-1");
        worker.claim(store);
        absl::Time now = absl::UnixEpoch();
        const int closeAt = *rc::gen::inRange(0, 40);
        std::optional<std::string> closed;
        for (int step = 0; step < 60; ++step) {
            now += absl::Seconds(2);
            if (step == closeAt) {
                if (const auto claim = SegmentClaim::close(store.stored, itemCount)) {
                    store.putProgress(claim->progress, claim->precondition, false);
                }
                closed = store.stored->value;
            }
            worker.step(store, now);
            RC_ASSERT(!closed || store.stored->value == *closed);
        }
    }));
}

// Guards against an item that never succeeds and keeps its segment from finishing.
TEST(BatchSegmentTest, itemFailsAfterTheLastAttempt)
{
    SegmentProgress claimed;
    claimed.items = std::string(1, SegmentProgress::openItem);
    BatchSegment segment({{"only", "{}"}}, claimed, 1, maxAttempts);
    absl::Time now = absl::UnixEpoch();
    for (int attempt = 0; attempt < maxAttempts; ++attempt) {
        now += absl::Minutes(1);
        const auto index = segment.nextItem(now);
        ASSERT_TRUE(index.has_value());
        segment.itemEnded(*index, {ItemOutcome::Kind::Retryable, "broken"}, now);
    }
    const auto commit = segment.nextCommit(false);
    ASSERT_TRUE(commit.has_value());
    EXPECT_EQ(commit->progress.items, std::string(1, SegmentProgress::failedItem));
    EXPECT_NE(commit->outputText.find("gave up after 3 attempts: broken"), std::string::npos);
}

// Guards against an accepted item that ends as failed, or waits without bound, because upstreams crashed while it ran.
TEST(BatchSegmentTest, interruptedItemCompletes)
{
    SegmentProgress claimed;
    claimed.items = std::string(1, SegmentProgress::openItem);
    BatchSegment segment({{"only", "{}"}}, claimed, 1, maxAttempts);
    absl::Time now = absl::UnixEpoch();
    for (int interruption = 0; interruption < 100 * maxAttempts; ++interruption) {
        const auto index = segment.nextItem(now);
        ASSERT_TRUE(index.has_value()) << "after " << interruption << " interruptions";
        segment.itemEnded(*index, {ItemOutcome::Kind::Interrupted, "upstream_failed"}, now);
        EXPECT_FALSE(segment.nextItem(now).has_value()) << "an interrupted item must wait before it runs again";
        now += absl::Seconds(10);
    }
    const auto index = segment.nextItem(now);
    ASSERT_TRUE(index.has_value());
    segment.itemEnded(*index, {ItemOutcome::Kind::Completed, "{}"}, now);
    const auto commit = segment.nextCommit(false);
    ASSERT_TRUE(commit.has_value());
    EXPECT_EQ(commit->progress.items, std::string(1, SegmentProgress::completedItem));
}

std::string codeOf(const std::string &input, JobInputLimits limits = {})
{
    try {
        JobInput reader(limits);
        reader.append(input);
        reader.finish();
    } catch (const JobInputError &error) {
        return error.code();
    }
    return "";
}

// Guards against invalid input that is accepted, or that is rejected with another code than the documented one.
TEST(JobInputTest, invalidInputIsRejectedWithItsCode)
{
    const std::string good = R"({"custom_id": "a", "body": {}})";
    EXPECT_EQ(codeOf(good), "");
    EXPECT_EQ(codeOf(good + "\n" + good), "duplicate_id");
    EXPECT_EQ(codeOf("{"), "invalid_line");
    EXPECT_EQ(codeOf(R"({"custom_id": 4, "body": {}})"), "invalid_line");
    EXPECT_EQ(codeOf("\n\n"), "empty_job");
    EXPECT_EQ(codeOf(good, {5, 10}), "item_too_large");
    EXPECT_EQ(codeOf(good + "\n" + R"({"custom_id": "b", "body": {}})", {1, 1000}), "too_many_items");
}

// Guards against segments or a digest that depend on how the network splits the upload.
TEST(JobInputTest, uploadChunkSizeDoesNotChangeSegments)
{
    std::string input;
    constexpr int items = 700;
    for (int index = 0; index < items; ++index) {
        input += nlohmann::json({{"custom_id", std::to_string(index)}, {"body", {{"prompt", std::string(50, 'x')}}}}).dump() + "\n";
    }
    const auto segmentsOf = [&input](std::size_t chunkSize, std::string &digest) {
        JobInput reader({});
        std::vector<InputSegment> segments;
        for (std::size_t start = 0; start < input.size(); start += chunkSize) {
            for (InputSegment &segment : reader.append(std::string_view(input).substr(start, chunkSize))) {
                segments.push_back(std::move(segment));
            }
        }
        for (InputSegment &segment : reader.finish()) {
            segments.push_back(std::move(segment));
        }
        digest = reader.digest();
        return segments;
    };
    std::string first;
    std::string second;
    EXPECT_EQ(segmentsOf(7, first), segmentsOf(100'000, second));
    EXPECT_EQ(first, second);
}

} // namespace

} // namespace Bergamotramp
