#include "JoinedHostTracker.h"

#include <gtest/gtest.h>

namespace Bergamotramp {

namespace {

const absl::Time start = absl::FromUnixSeconds(1'000'000);

HostInfo host(const std::string &name, std::uint64_t incarnation)
{
    HostInfo info;
    info.name = name;
    info.incarnation = incarnation;
    return info;
}

int countNoticesInAMinute(JoinedHostTracker &tracker, const std::string &name, absl::Time from)
{
    int count = 0;
    for (absl::Time now = from; now < from + absl::Minutes(1); now += absl::Milliseconds(100)) {
        for (const std::string &due : tracker.takeDue(now)) {
            count += due == name ? 1 : 0;
        }
    }
    return count;
}

// Guards against a host that is never informed because its only notice was lost, and against notices that never stop.
TEST(JoinedHostTrackerTest, aJoinedHostGetsSeveralNotices)
{
    JoinedHostTracker tracker;
    tracker.update({host("h1", 1)}, start);
    EXPECT_TRUE(tracker.takeDue(start).empty()) << "the host may have no catalogue yet";
    EXPECT_EQ(countNoticesInAMinute(tracker, "h1", start), 3);
    EXPECT_EQ(countNoticesInAMinute(tracker, "h1", start + absl::Minutes(1)), 0);
}

// Guards against a restarted host, which has lost all it knew, that gets no notices because it was informed in an earlier run.
TEST(JoinedHostTrackerTest, aRestartedHostGetsNoticesAgain)
{
    JoinedHostTracker tracker;
    tracker.update({host("h1", 1), host("h2", 1)}, start);
    countNoticesInAMinute(tracker, "h1", start);
    const absl::Time later = start + absl::Minutes(2);
    tracker.update({host("h1", 1), host("h2", 2)}, later);
    EXPECT_EQ(countNoticesInAMinute(tracker, "h1", later), 0);
    tracker.update({host("h1", 1)}, later + absl::Minutes(1));
    tracker.update({host("h1", 1), host("h2", 2)}, later + absl::Minutes(2));
    EXPECT_EQ(countNoticesInAMinute(tracker, "h2", later + absl::Minutes(2)), 3);
}

} // namespace

} // namespace Bergamotramp
