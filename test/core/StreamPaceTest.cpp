#include "StreamPace.h"

#include <gtest/gtest.h>

namespace Bergamotramp {

namespace {

const absl::Time start = absl::FromUnixSeconds(1'000'000);
constexpr absl::Duration step = absl::Milliseconds(10);

StreamPace steadyPace(int tokens)
{
    StreamPace pace;
    for (int token = 0; token < tokens; ++token) {
        pace.onToken(start + token * step);
    }
    return pace;
}

// Guards against treating a stream as slow before its first token.
TEST(StreamPaceTest, noIntervalBeforeTheFirstToken)
{
    const StreamPace pace;
    EXPECT_EQ(pace.tokenInterval(start), absl::ZeroDuration());
    EXPECT_EQ(pace.exceedsAt(step), absl::InfiniteFuture());
}

// Guards against missing a stream that stopped: only the time since its last token shows that it is slow.
TEST(StreamPaceTest, timeSinceTheLastTokenCounts)
{
    const StreamPace pace = steadyPace(20);
    const absl::Time last = start + 19 * step;
    EXPECT_EQ(pace.tokenInterval(last), step);
    const absl::Time slowAt = pace.exceedsAt(2 * step);
    EXPECT_GT(slowAt, last);
    EXPECT_LE(pace.tokenInterval(slowAt), 2 * step);
    EXPECT_GT(pace.tokenInterval(slowAt + absl::Milliseconds(1)), 2 * step);
}

// Guards against missing a slowdown after a long fast start.
TEST(StreamPaceTest, onlyTheLastFewTokensCount)
{
    StreamPace pace = steadyPace(1000);
    absl::Time now = start + 999 * step;
    for (int token = 0; token < 5; ++token) {
        now += 5 * step;
        pace.onToken(now);
    }
    EXPECT_EQ(pace.tokenInterval(now), 5 * step);
    EXPECT_EQ(pace.exceedsAt(2 * step), now);
    EXPECT_EQ(pace.tokens(), 1005U);
}

} // namespace

} // namespace Bergamotramp
