#include "StatedLimits.h"

#include <gtest/gtest.h>

namespace Bergamotramp {

namespace {

constexpr std::uint32_t run = 7;
const absl::Time start = absl::UnixEpoch() + absl::Hours(1);

LimitReport at(int seconds, std::optional<double> limit)
{
    return {.run = run, .requestsPerSecond = limit, .observed = start + absl::Seconds(seconds)};
}

// Guards against a limit that stays in force after an answer without it.
TEST(StatedLimitsTest, answerWithoutLimitEndsIt)
{
    StatedLimits limits;
    EXPECT_FALSE(limits.record(at(0, std::nullopt)));
    EXPECT_TRUE(limits.empty());
    EXPECT_TRUE(limits.record(at(1, 3.0)));
    EXPECT_FALSE(limits.record(at(2, 3.0)));
    EXPECT_EQ(limits.find(run), 3.0);
    EXPECT_TRUE(limits.record(at(3, std::nullopt)));
    EXPECT_EQ(limits.find(run), std::nullopt);
    EXPECT_TRUE(limits.limited().empty());
}

// Guards against an older statement that another host announces late and that replaces a newer one.
TEST(StatedLimitsTest, olderStatementOfAnotherHostIsIgnored)
{
    StatedLimits limits;
    limits.record(at(5, std::nullopt));
    limits.record(at(6, 4.0));
    EXPECT_FALSE(limits.merge(at(2, 3.0)));
    EXPECT_EQ(limits.find(run), 4.0);
    EXPECT_TRUE(limits.merge(at(7, std::nullopt)));
    EXPECT_FALSE(limits.merge(at(6, 4.0)));
    EXPECT_EQ(limits.find(run), std::nullopt);
}

// Guards against a limit that outlives the upstream's statements because no host sends requests there any more.
TEST(StatedLimitsTest, limitThatIsNotRepeatedIsForgotten)
{
    StatedLimits limits;
    limits.record(at(0, 3.0));
    EXPECT_FALSE(limits.expire(start + StatedLimits::lifetime));
    EXPECT_TRUE(limits.expire(start + StatedLimits::lifetime + absl::Milliseconds(1)));
    EXPECT_EQ(limits.find(run), std::nullopt);
}

// Guards against hosts that repeat each other's announcements, which would keep a limit alive for ever.
TEST(StatedLimitsTest, onlyOwnObservationsAreAnnounced)
{
    StatedLimits limits;
    limits.merge(at(0, 3.0));
    EXPECT_TRUE(limits.ownReports(false, start).empty());
    limits.record(at(1, 3.0));
    EXPECT_EQ(limits.ownReports(false, start + absl::Seconds(1)), std::vector<LimitReport>{at(1, 3.0)});
    EXPECT_TRUE(limits.ownReports(true, start + absl::Seconds(1)).empty());
    limits.record(at(2, 2.0));
    EXPECT_EQ(limits.ownReports(true, start + absl::Seconds(3)), std::vector<LimitReport>{at(2, 2.0)});
    EXPECT_TRUE(limits.ownReports(true, start + absl::Seconds(5)).empty());
}

} // namespace

} // namespace Bergamotramp
