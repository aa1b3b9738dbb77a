#include "Drain.h"

#include <gtest/gtest.h>

namespace Bergamotramp {

namespace {

using Actions = std::vector<DrainAction>;

// Guards against refusing callers that still use this host's address from a response of /v1/entries.
TEST(DrainTest, servesUntilTheLastResponseThatListedTheHostHasExpired)
{
    const absl::Time start = absl::FromUnixSeconds(1000);
    Drain drain(DrainSettings{absl::Seconds(15), absl::Seconds(3)});
    EXPECT_EQ(drain.tick(start, {}), Actions());
    EXPECT_EQ(drain.start(start), (Actions{DrainAction::AnnounceLeaving, DrainAction::HandOver}));
    EXPECT_EQ(drain.start(start + absl::Seconds(1)), Actions());
    EXPECT_EQ(drain.tick(start + absl::Seconds(17), {}), Actions());
    EXPECT_EQ(drain.tick(start + absl::Seconds(18), {}), Actions{DrainAction::StopAccepting});
    EXPECT_EQ(drain.phase(), DrainPhase::Finishing);
}

// Guards against an exit that cuts off a stream or leaves a shard without a host that serves it.
TEST(DrainTest, exitsOnlyWithoutRequestsAndPendingHandovers)
{
    const absl::Time start = absl::FromUnixSeconds(1000);
    Drain drain{DrainSettings()};
    drain.start(start);
    const absl::Time later = start + absl::Hours(1);
    EXPECT_EQ(drain.tick(later, {1, 0}), Actions{DrainAction::StopAccepting});
    EXPECT_EQ(drain.tick(later, {1, 0}), Actions());
    EXPECT_EQ(drain.tick(later, {0, 1}), Actions());
    EXPECT_EQ(drain.tick(later, {0, 0}), Actions{DrainAction::Exit});
    EXPECT_EQ(drain.tick(later, {0, 0}), Actions());
}

} // namespace

} // namespace Bergamotramp
