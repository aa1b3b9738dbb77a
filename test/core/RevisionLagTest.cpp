#include "RevisionLag.h"

#include <algorithm>

#include <gtest/gtest.h>

namespace Bergamotramp {

namespace {

const absl::Time start = absl::FromUnixSeconds(1'000'000);
constexpr absl::Duration step = absl::Milliseconds(40);

// Guards against a fleet that keeps a link saturated: hosts that lag because their lists do not get through in time listed again
// each 1.2 s, for as long as the link was saturated by these lists.
TEST(RevisionLagTest, repeatedFetchesBecomeRarer)
{
    RevisionLag lag;
    lag.recordAnnounced(7);
    int fetches = 0;
    for (absl::Time now = start; now < start + absl::Minutes(1); now += step) {
        fetches += lag.fetchDue(3, now) ? 1 : 0;
    }
    EXPECT_GE(fetches, 60 / absl::ToInt64Seconds(RevisionLag::maxRetryInterval));
    EXPECT_LE(fetches, 10);
}

// Guards against a host that lacks a change for longer than the others need to tell it, and against waiting longer because of a lag
// that is over.
TEST(RevisionLagTest, newLagIsNoticedInTime)
{
    RevisionLag lag;
    lag.recordAnnounced(7);
    EXPECT_FALSE(lag.fetchDue(3, start));
    EXPECT_TRUE(lag.fetchDue(3, start + RevisionLag::maxLag + step));
    EXPECT_FALSE(lag.fetchDue(7, start + absl::Seconds(2)));
    lag.recordAnnounced(9);
    EXPECT_FALSE(lag.fetchDue(7, start + absl::Seconds(3)));
    EXPECT_TRUE(lag.fetchDue(7, start + absl::Seconds(3) + RevisionLag::maxLag + step));
}

// Guards against fetches by a host that gets each change in time but never all of them, because new ones are announced without a pause.
TEST(RevisionLagTest, steadyChangesAreNoLag)
{
    RevisionLag lag;
    constexpr std::uint64_t changesUnderWay = 10;
    for (std::uint64_t change = 1; change < 1000; ++change) {
        lag.recordAnnounced(change);
        EXPECT_FALSE(lag.fetchDue(change - std::min(change, changesUnderWay), start + step * static_cast<double>(change)));
    }
}

// Guards against a lag that is noticed later because the lagging host gets no change at all while more are announced.
TEST(RevisionLagTest, lagIsNoticedWhileChangesGoOn)
{
    RevisionLag lag;
    absl::Time now = start;
    for (std::uint64_t change = 4; !lag.fetchDue(3, now); ++change) {
        lag.recordAnnounced(change);
        now += step;
    }
    EXPECT_LE(now, start + RevisionLag::maxLag + 3 * step);
}

} // namespace

} // namespace Bergamotramp
