#include "Job.h"

#include <set>

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace Bergamotramp {

namespace {

const absl::Time start = absl::FromUnixSeconds(1'000'000);
constexpr std::size_t unlimitedBytes = 1'000'000;
constexpr int maxFailures = 3;

JobRecord header(std::size_t items)
{
    return {.id = "job",
            .virtualHost = "host.example",
            .pathPrefix = "/b/",
            .owner = "one",
            .submitted = start,
            .tokens = static_cast<std::int64_t>(items) * 10,
            .items = items,
            .inputParts = 1};
}

std::vector<BatchItem> items(std::size_t count)
{
    std::vector<BatchItem> result;
    for (std::size_t index = 0; index < count; ++index) {
        result.push_back({.id = "item-" + std::to_string(index), .path = "/b/x", .fields = {}, .body = "body", .tokens = 10});
    }
    return result;
}

void completeItem(Job &job, std::size_t index)
{
    job.markStarted(index);
    job.appendEvent(index, 1, "text");
    job.finishRun(index, RunOutcome::Completed, maxFailures, start);
}

// Guards against an output in which an event is missing or repeated after an item is interrupted and run again.
TEST(JobTest, outputResumesAfterTheLastEvent)
{
    Job job(header(1), items(1));
    job.markStarted(0);
    EXPECT_TRUE(job.appendEvent(0, 1, "one"));
    EXPECT_TRUE(job.appendEvent(0, 1, "again"));
    EXPECT_FALSE(job.appendEvent(0, 3, "three"));
    job.finishRun(0, RunOutcome::Interrupted, maxFailures, start);
    EXPECT_EQ(job.lastEvent(0), 1U);
    job.markStarted(0);
    EXPECT_TRUE(job.appendEvent(0, 2, "two"));
    job.finishRun(0, RunOutcome::Completed, maxFailures, start);
    ASSERT_EQ(job.unstoredState(unlimitedBytes).results.size(), 1U);
    EXPECT_EQ(job.unstoredState(unlimitedBytes).results.front().output, "one\ntwo");
}

// Guards against an item that fails before it has used up its runs, or that is run for ever.
TEST(JobTest, itemsFailAfterTheFailureLimit)
{
    Job job(header(2), items(2));
    for (int failure = 1; failure <= maxFailures; ++failure) {
        EXPECT_TRUE(job.unstoredState(unlimitedBytes).results.empty());
        job.markStarted(0);
        job.finishRun(0, RunOutcome::Failed, maxFailures, start);
    }
    job.markStarted(1);
    job.finishRun(1, RunOutcome::FailedPermanently, maxFailures, start);
    ASSERT_EQ(job.unstoredState(unlimitedBytes).results.size(), 2U);
    EXPECT_FALSE(job.unstoredState(unlimitedBytes).results[0].completed);
    EXPECT_FALSE(job.nextItem(start + absl::Hours(1)));
}

// Guards against an item that fails at each run and is run more often than permitted because its job changes hands: the next runner
// has to continue the count of the former one.
TEST(JobTest, failureCountPassesToTheNextRunner)
{
    Job first(header(2), items(2));
    for (int failure = 1; failure < maxFailures; ++failure) {
        first.markStarted(0);
        first.finishRun(0, RunOutcome::Failed, maxFailures, start);
    }
    ASSERT_TRUE(first.hasUnstoredState());
    const nlohmann::json stored = resultObjectToJson("one", first.unstoredState(unlimitedBytes));
    first.addStoredObject(resultObjectFromJson(stored));
    EXPECT_FALSE(first.hasUnstoredState());

    Job next(header(2), items(2));
    next.addStoredObject(resultObjectFromJson(stored));
    EXPECT_FALSE(next.hasUnstoredState());
    next.markStarted(0);
    next.finishRun(0, RunOutcome::Failed, maxFailures, start);
    ASSERT_EQ(next.unstoredState(unlimitedBytes).results.size(), 1U);
    EXPECT_FALSE(next.unstoredState(unlimitedBytes).results[0].completed);
}

// Guards against a host that can't continue the jobs of an earlier version, whose result objects hold no failure counts.
TEST(JobTest, resultObjectWithoutFailureCountsIsReadable)
{
    const ResultObject object = resultObjectFromJson({{"writer", "one"}, {"results", nlohmann::json::array()}});
    EXPECT_EQ(object, ResultObject());
    EXPECT_THROW(resultObjectFromJson({{"results", nlohmann::json::array()}, {"failures", 7}}), JobFormatError);
}

// Guards against an item that crashes its upstream and is sent to the next one without a growing delay.
TEST(JobTest, interruptionsWithoutProgressDelayTheNextRun)
{
    Job job(header(1), items(1));
    absl::Time now = start;
    absl::Duration pause;
    for (int run = 0; run < 12; ++run) {
        job.markStarted(0);
        job.finishRun(0, RunOutcome::Interrupted, maxFailures, now);
        const absl::Time ended = now;
        while (!job.nextItem(now)) {
            now += absl::Milliseconds(10);
        }
        pause = now - ended;
    }
    EXPECT_GE(pause, absl::Seconds(2));
}

// Guards against an item that becomes a dead letter, or is delayed without bound, because its runs were cut off by crashes of upstreams,
// also when its job changes hands in between.
TEST(JobTest, itemCompletesAfterABurstOfInterruptions)
{
    constexpr int interruptions = 50;
    absl::Time now = start;
    const auto interrupt = [&now](Job &job) {
        for (int run = 0; run < interruptions; ++run) {
            now += absl::Seconds(5);
            ASSERT_EQ(job.nextItem(now), 0U) << "after " << run << " interruptions";
            job.markStarted(0);
            job.finishRun(0, RunOutcome::Interrupted, maxFailures, now);
        }
    };
    Job first(header(1), items(1));
    first.markStarted(0);
    first.finishRun(0, RunOutcome::Failed, maxFailures, now);
    interrupt(first);
    Job next(header(1), items(1));
    next.addStoredObject(resultObjectFromJson(resultObjectToJson("one", first.unstoredState(unlimitedBytes))));
    interrupt(next);
    now += absl::Seconds(5);
    ASSERT_EQ(next.nextItem(now), 0U);
    completeItem(next, 0);
    ASSERT_EQ(next.unstoredState(unlimitedBytes).results.size(), 1U);
    EXPECT_TRUE(next.unstoredState(unlimitedBytes).results.front().completed);
}

// Guards against results that callers see before they are stored, and that could be lost with the host.
TEST(JobTest, onlyStoredResultsAreReturned)
{
    Job job(header(2), items(2));
    completeItem(job, 1);
    EXPECT_EQ(job.page(0, unlimitedBytes).results.size(), 0U);
    job.addStoredObject(job.unstoredState(unlimitedBytes));
    EXPECT_EQ(job.page(0, unlimitedBytes).results.size(), 1U);
    EXPECT_EQ(job.page(0, unlimitedBytes).totalItems, 2U);
    EXPECT_EQ(job.page(7, unlimitedBytes).nextPosition, 7U);
    EXPECT_EQ(job.tokensFinished(), 10);
    EXPECT_FALSE(job.allResultsStored());
}

/** Stands in for the store: a chain of result objects in which each number is created only once. */
struct ResultChain {
    std::vector<ResultObject> objects;

    /** Creates the object of this number; returns the existing object if there is one. */
    ResultObject create(std::uint64_t number, const ResultObject &content)
    {
        if (number < this->objects.size()) {
            return this->objects[number];
        }
        this->objects.push_back(content);
        return content;
    }
};

// Guards against results that change position, or an item with results at two positions, while two hosts run the same job after a network
// partition or a pause. Both hosts must return the same results.
TEST(JobTest, twoRunnersShareOneResultChain)
{
    EXPECT_TRUE(rc::check("positions are fixed", [] {
        constexpr std::size_t count = 6;
        ResultChain chain;
        Job jobs[2] = {Job(header(count), items(count)), Job(header(count), items(count))};
        std::vector<JobResult> seen;
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100));
        for (const int step : steps) {
            Job &job = jobs[step % 2];
            const std::size_t index = static_cast<std::size_t>(step / 2) % count;
            if (step % 3 != 0) {
                if (const auto next = job.nextItem(start); next && *next <= index) {
                    completeItem(job, *next);
                }
            } else if (job.hasUnstoredState()) {
                job.addStoredObject(chain.create(job.nextResultObject(), job.unstoredState(unlimitedBytes)));
            }
            const JobPage page = job.page(0, unlimitedBytes);
            for (std::size_t position = 0; position < page.results.size(); ++position) {
                if (position < seen.size()) {
                    RC_ASSERT(seen[position] == page.results[position]);
                } else {
                    seen.push_back(page.results[position]);
                }
            }
        }
        std::set<std::string> ids;
        for (const JobResult &result : seen) {
            RC_ASSERT(ids.insert(result.itemId).second);
        }
    }));
}

// Guards against an output that is joined from two software versions: the run after an interruption has to find the same one.
TEST(JobTest, partialOutputGoesOnAtItsOriginOnly)
{
    const StreamOrigin first{.service = "model", .softwareVersion = "v1"};
    const StreamOrigin second{.service = "model", .softwareVersion = "v2"};
    Job job(header(2), items(2));
    job.markStarted(0, first);
    job.appendEvent(0, 1, "one");
    job.finishRun(0, RunOutcome::Interrupted, maxFailures, start);
    const absl::Time later = start + absl::Hours(1);
    const auto nextAt = [&job, later](const StreamOrigin &origin) {
        return job.nextItem(later, [&](std::size_t index) { return !job.lastEvent(index) || job.outputOrigin(index) == origin; });
    };
    EXPECT_EQ(nextAt(first), 0U);
    EXPECT_EQ(nextAt(second), 1U);
    job.markStarted(0, second);
    EXPECT_EQ(job.outputOrigin(0), first);
    job.finishRun(0, RunOutcome::Interrupted, maxFailures, start);
    EXPECT_EQ(job.discardOutputs([&](const StreamOrigin &origin, int interruptions) { return origin == second || interruptions != 2; }), 0U);
    EXPECT_EQ(job.discardOutputs([&](const StreamOrigin &origin, int) { return origin == first; }), 1U);
    EXPECT_EQ(job.lastEvent(0), std::nullopt);
    job.markStarted(0, second);
    job.appendEvent(0, 1, "anew");
    job.finishRun(0, RunOutcome::Completed, maxFailures, start);
    EXPECT_EQ(job.unstoredState(unlimitedBytes).results.at(0).output, "anew");
}

// Guards against items that are never run because an earlier one of the job can't start.
TEST(JobTest, itemThatCannotStartDoesNotHoldUpOthers)
{
    Job job(header(3), items(3));
    EXPECT_EQ(job.nextItem(start, [](std::size_t index) { return index != 0; }), 1U);
    job.markStarted(1);
    EXPECT_EQ(job.nextItem(start, [](std::size_t index) { return index != 0; }), 2U);
    EXPECT_EQ(job.nextItem(start), 0U);
    EXPECT_EQ(job.nextItem(start, [](std::size_t) { return false; }), std::nullopt);
}

// Guards against memory that grows with the output of an item whose upstream never ends it. The item begins anew.
TEST(JobTest, outputWithoutEndIsDiscarded)
{
    Job job(header(1), items(1));
    job.markStarted(0);
    const std::string data(4096, 'x');
    std::uint64_t event = 0;
    while (event < 1000 && job.appendEvent(0, event + 1, data)) {
        ++event;
    }
    EXPECT_LT(event * data.size(), Job::maxOutputBytes);
    EXPECT_EQ(job.lastEvent(0), std::nullopt);
    job.finishRun(0, RunOutcome::Interrupted, maxFailures, start);
    EXPECT_EQ(job.nextItem(start + absl::Seconds(10)), 0U) << "the item is run again";
}

} // namespace

} // namespace Bergamotramp
