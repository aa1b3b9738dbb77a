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

// Guards against a key that stays blocked because the withdrawal of its only call arrived after the deadline.
TEST(JournalIndexTest, withdrawalAfterTheDeadlineFreesTheKey)
{
    JournalIndex index(absl::Hours(1));
    index.put(*index.begin(intentOf(false, 1), start).record);
    const absl::Time late = start + absl::Seconds(61);
    index.put(*index.withdraw({"key", "host-1", 1}, late).record);
    const JournalDecision next = index.begin(intentOf(false, 2), late);
    EXPECT_EQ(next.state, wire::JOURNAL_STATE_NEW);
    EXPECT_EQ(next.attempt, 2U);
    EXPECT_FALSE(next.earlierAttempts);
}

// Guards against recording a begin that arrives after its withdrawal. Nobody would end its attempt.
TEST(JournalIndexTest, beginAfterItsWithdrawalIsNotRecorded)
{
    JournalIndex index(absl::Hours(1));
    index.put(*index.withdraw({"key", "host-1", 1}, start).record);
    const JournalDecision late = index.begin(intentOf(false, 1), start);
    EXPECT_EQ(late.state, wire::JOURNAL_STATE_UNAVAILABLE);
    EXPECT_FALSE(late.record.has_value());
    EXPECT_EQ(index.begin(intentOf(false, 2), start).state, wire::JOURNAL_STATE_NEW);
}

// Guards against a withdrawal that frees the key of another call, which may have sent its request, or makes that call unrecognisable.
TEST(JournalIndexTest, withdrawalOfAnotherCallChangesNothing)
{
    JournalIndex index(absl::Hours(1));
    index.put(*index.begin(intentOf(false, 1), start).record);
    const JournalKeyState before = *index.find("key");
    index.put(*index.withdraw({"key", "host-1", 2}, start).record);
    EXPECT_EQ(*index.find("key"), before);
    EXPECT_EQ(index.begin(intentOf(false, 1), start).state, wire::JOURNAL_STATE_NEW);
    EXPECT_EQ(index.begin(intentOf(false, 3), start).state, wire::JOURNAL_STATE_IN_PROGRESS);
}

// Guards against recording a begin that arrives after its own withdrawal and that of a later call.
TEST(JournalIndexTest, beginAfterTheWithdrawalOfALaterCallIsNotRecorded)
{
    JournalIndex index(absl::Hours(1));
    index.put(*index.withdraw({"key", "host-1", 1}, start).record);
    index.put(*index.begin(intentOf(false, 2), start).record);
    index.put(*index.withdraw({"key", "host-1", 2}, start).record);
    EXPECT_FALSE(index.begin(intentOf(false, 1), start).record.has_value());
    EXPECT_EQ(index.begin(intentOf(false, 3), start).state, wire::JOURNAL_STATE_NEW);
}

// Guards against a repeated withdrawal that frees the key after the next attempt has begun.
TEST(JournalIndexTest, repeatedWithdrawalKeepsTheNextAttempt)
{
    JournalIndex index(absl::Hours(1));
    index.put(*index.begin(intentOf(false, 1), start).record);
    index.put(*index.withdraw({"key", "host-1", 1}, start).record);
    index.put(*index.begin(intentOf(false, 2), start).record);
    index.put(*index.withdraw({"key", "host-1", 1}, start).record);
    EXPECT_EQ(index.begin(intentOf(false, 3), start).state, wire::JOURNAL_STATE_IN_PROGRESS);
}

} // namespace

} // namespace Bergamotramp
