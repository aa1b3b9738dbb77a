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

int countNoticesInAMinute(JoinedHostTracker &notices, const std::string &name, absl::Time from)
{
    int count = 0;
    for (absl::Time now = from; now < from + absl::Minutes(1); now += absl::Milliseconds(100)) {
        for (const std::string &due : notices.takeDue(now)) {
            count += due == name ? 1 : 0;
        }
    }
    return count;
}

// Guards against a host that is never informed because its only notice was lost, and against notices that never stop.
TEST(JoinedHostTrackerTest, aJoinedHostGetsSeveralNotices)
{
    JoinedHostTracker notices;
    notices.update({host("h1", 1)}, start);
    EXPECT_TRUE(notices.takeDue(start).empty()) << "the host may have no catalogue yet";
    EXPECT_EQ(countNoticesInAMinute(notices, "h1", start), 3);
    EXPECT_EQ(countNoticesInAMinute(notices, "h1", start + absl::Minutes(1)), 0);
}

// Guards against a restarted host, which has lost all it knew, that gets no notices because it was informed in an earlier run.
TEST(JoinedHostTrackerTest, aRestartedHostGetsNoticesAgain)
{
    JoinedHostTracker notices;
    notices.update({host("h1", 1), host("h2", 1)}, start);
    countNoticesInAMinute(notices, "h1", start);
    const absl::Time later = start + absl::Minutes(2);
    notices.update({host("h1", 1), host("h2", 2)}, later);
    EXPECT_EQ(countNoticesInAMinute(notices, "h1", later), 0);
    notices.update({host("h1", 1)}, later + absl::Minutes(1));
    notices.update({host("h1", 1), host("h2", 2)}, later + absl::Minutes(2));
    EXPECT_EQ(countNoticesInAMinute(notices, "h2", later + absl::Minutes(2)), 3);
}

} // namespace

} // namespace Bergamotramp
