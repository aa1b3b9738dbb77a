#include "VersionHistory.h"

#include <gtest/gtest.h>

namespace Bergamotramp {

namespace {

const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
constexpr absl::Duration period = absl::Seconds(15);

std::vector<UpstreamInfo> upstreams(const std::vector<std::string> &versions)
{
    std::vector<UpstreamInfo> result;
    for (const std::string &version : versions) {
        result.push_back({.id = "up", .service = "model", .address = "127.0.0.1:1", .dataCentre = "a", .softwareVersion = version});
    }
    return result;
}

// Guards against a stream of a version that has left which goes on at the only one that is left.
TEST(VersionHistoryTest, versionThatHasLeftCountsForThePeriod)
{
    VersionHistory history;
    history.observe(upstreams({"v1", "v2"}), start);
    history.observe(upstreams({"v2"}), start + absl::Seconds(1));
    EXPECT_EQ(history.soleVersion("model", period, start + period), std::nullopt);
    history.observe(upstreams({"v2"}), start + period);
    EXPECT_EQ(history.soleVersion("model", period, start + period + absl::Milliseconds(1)), "v2");
    EXPECT_TRUE(history.hasOther("model", "v2"));
}

// Guards against a host that has just started, or has not reached the store, and takes what it sees for all that there was.
TEST(VersionHistoryTest, nothingIsCertainBeforeThePeriodHasPassed)
{
    VersionHistory history;
    EXPECT_EQ(history.soleVersion("model", period, start), std::nullopt);
    history.observe(upstreams({"v1"}), start);
    EXPECT_EQ(history.soleVersion("model", period, start + period - absl::Milliseconds(1)), std::nullopt);
    history.observe(upstreams({"v1"}), start + period);
    EXPECT_EQ(history.soleVersion("model", period, start + period), "v1");
    history.interrupt();
    EXPECT_EQ(history.soleVersion("model", period, start + period), std::nullopt);
    history.observe(upstreams({"v1"}), start + 2 * period);
    EXPECT_EQ(history.soleVersion("model", period, start + 3 * period - absl::Milliseconds(1)), std::nullopt);
}

// Guards against a host that does not contradict others although it has seen a second version lately, also when it has just started,
// and against one that does so because of a version that left long ago.
TEST(VersionHistoryTest, versionsOfThePeriodAreSeveral)
{
    VersionHistory history;
    EXPECT_FALSE(history.hasSeveral("model", period, start));
    history.observe(upstreams({"v1"}), start);
    EXPECT_FALSE(history.hasSeveral("model", period, start));
    history.observe(upstreams({"v1", "v2"}), start);
    EXPECT_TRUE(history.hasSeveral("model", period, start));
    history.observe(upstreams({"v2"}), start + period);
    EXPECT_TRUE(history.hasSeveral("model", period, start + period));
    EXPECT_FALSE(history.hasSeveral("model", period, start + period + absl::Milliseconds(1)));
    EXPECT_FALSE(history.hasSeveral("other", period, start));
}

// Guards against a missing version that is taken for one that all upstreams share.
TEST(VersionHistoryTest, upstreamWithoutAVersionMakesItUncertain)
{
    VersionHistory history;
    history.observe(upstreams({"v1", ""}), start);
    history.observe(upstreams({"v1", ""}), start + period);
    EXPECT_EQ(history.soleVersion("model", period, start + period), std::nullopt);
    EXPECT_EQ(history.soleVersion("other", period, start + period), std::nullopt);
}

} // namespace

} // namespace Bergamotramp
