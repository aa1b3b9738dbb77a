#include "StartPlan.h"

#include <gtest/gtest.h>

namespace Bergamotramp {

namespace {

const absl::Time startTime = absl::FromUnixSeconds(1'000'000);

absl::Time at(int milliseconds)
{
    return startTime + absl::Milliseconds(milliseconds);
}

KnownPeers peersFoundAt(int milliseconds)
{
    return {.count = 52, .lastFound = at(milliseconds)};
}

// Load: all hosts of a fleet are lost and start again at the same moment. Guards against callers who wait until the hosts know each other.
TEST(StartPlanTest, hostThatWasRegisteredBeforeListsRoutingDataAtOnce)
{
    StartPlan plan(startTime, true);
    EXPECT_FALSE(plan.mayListRouting(peersFoundAt(15), at(16)));
    plan.recordRegisteredHosts(53, true);
    EXPECT_TRUE(plan.mayListRouting({}, at(16)));
    EXPECT_FALSE(plan.mayListJobs({}, false, at(16)));
}

// Guards against the lists of hundreds of hosts that fill the link to the store at once.
TEST(StartPlanTest, hostOfALargeFleetWaitsForRelays)
{
    StartPlan plan(startTime, true);
    plan.recordRegisteredHosts(300, true);
    EXPECT_FALSE(plan.mayListRouting(peersFoundAt(100), at(200)));
    EXPECT_TRUE(plan.mayListRouting(peersFoundAt(100), at(300)));
}

// Guards against the same on the first start of a fleet, when only the first hosts are registered yet.
TEST(StartPlanTest, firstStartWaitsForRelaysWhateverIsRegistered)
{
    StartPlan plan(startTime, true);
    plan.recordRegisteredHosts(3, false);
    EXPECT_FALSE(plan.mayListRouting({}, at(16)));
    EXPECT_FALSE(plan.mayListRouting(peersFoundAt(500), at(600)));
    EXPECT_TRUE(plan.mayListRouting({}, at(600)));
    EXPECT_TRUE(plan.mayListRouting(peersFoundAt(1490), at(1500)));
}

// Load: thousands of jobs whose headers are listed by all hosts at once. Guards against their list on the link before the routing data.
TEST(StartPlanTest, jobsAreListedAfterTheRoutingData)
{
    StartPlan plan(startTime, true);
    plan.recordRegisteredHosts(53, true);
    EXPECT_FALSE(plan.mayListJobs(peersFoundAt(100), true, at(200)));
    EXPECT_FALSE(plan.mayListJobs(peersFoundAt(100), false, at(400)));
    EXPECT_TRUE(plan.mayListJobs(peersFoundAt(100), true, at(400)));
}

// Guards against jobs that cannot be read while no valid configuration is stored.
TEST(StartPlanTest, jobsDoNotWaitForRoutingDataWithoutEnd)
{
    const StartPlan plan(startTime, true);
    EXPECT_FALSE(plan.mayListJobs(peersFoundAt(100), false, at(2900)));
    EXPECT_TRUE(plan.mayListJobs(peersFoundAt(100), false, at(3000)));
}

TEST(StartPlanTest, hostWithoutSeedsWaitsForNobody)
{
    const StartPlan plan(startTime, false);
    EXPECT_TRUE(plan.mayListRouting({}, at(0)));
    EXPECT_FALSE(plan.mayListJobs({}, false, at(0)));
    EXPECT_TRUE(plan.mayListJobs({}, true, at(0)));
}

// Guards against requests that wait although nothing suggests that the configuration will come.
TEST(StartPlanTest, requestsWaitOnlyWhileTheRoutingDataMayCome)
{
    const StartPlan plan(startTime, true);
    EXPECT_TRUE(plan.routingExpected(true, at(900)));
    EXPECT_FALSE(plan.routingExpected(true, at(1000)));
    EXPECT_FALSE(plan.routingExpected(false, at(100)));
}

} // namespace

} // namespace Bergamotramp
