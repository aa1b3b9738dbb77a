#include "JournalIndex.h"

#include <gtest/gtest.h>

namespace Bergamotramp {

namespace {

const absl::Time start = absl::FromUnixSeconds(1000);

JournalIntent intentOf(bool idempotent, std::uint64_t request)
{
    return {"key", 7, idempotent, "host-1", request, absl::Seconds(60)};
}

// Guards against a repeated request that has to wait for the deadline of an attempt that is known to have failed.
TEST(JournalIndexTest, failedAttemptOfIdempotentRequestAllowsTheNext)
{
    JournalIndex index(absl::Hours(1));
    index.put(*index.begin(intentOf(true, 1), start).record);
    EXPECT_EQ(index.begin(intentOf(true, 2), start).state, wire::JOURNAL_STATE_IN_PROGRESS);
    index.put(*index.finish({"key", 1, {}, false, true}, start).record);
    const JournalDecision next = index.begin(intentOf(true, 2), start);
    EXPECT_EQ(next.state, wire::JOURNAL_STATE_NEW);
    EXPECT_EQ(next.attempt, 2U);
    // If the second attempt is refused, the caller must not be told "not run", because the first one may have run.
    EXPECT_TRUE(next.earlierAttempts);
}

// Guards against a second run of a non-idempotent request whose first attempt failed after it was sent.
TEST(JournalIndexTest, failedAttemptOfNonIdempotentRequestBlocksTheKey)
{
    JournalIndex index(absl::Hours(1));
    index.put(*index.begin(intentOf(false, 1), start).record);
    EXPECT_FALSE(index.finish({"key", 1, {}, false, true}, start).record.has_value());
    EXPECT_EQ(index.begin(intentOf(false, 2), start).state, wire::JOURNAL_STATE_IN_PROGRESS);
    EXPECT_EQ(index.begin(intentOf(false, 2), start + absl::Seconds(61)).state, wire::JOURNAL_STATE_UNKNOWN);
}

} // namespace

} // namespace Bergamotramp
