#include "LocalRouting.h"

#include <gtest/gtest.h>

namespace Bergamotramp {

namespace {

const std::vector<LocalLoad> threeUpstreams = {{"a", 4}, {"b", 1}, {"c", 2}};

TEST(LocalRoutingTest, leastInFlightSelectsTheMinimum)
{
    EXPECT_EQ(LocalRouting(RoutingMode::LeastInFlight, 1).choose(threeUpstreams), 1U);
}

TEST(LocalRoutingTest, roundRobinSelectsEachInTurn)
{
    LocalRouting routing(RoutingMode::RoundRobin, 1);
    EXPECT_EQ(routing.choose(threeUpstreams), 0U);
    EXPECT_EQ(routing.choose(threeUpstreams), 1U);
    EXPECT_EQ(routing.choose(threeUpstreams), 2U);
    EXPECT_EQ(routing.choose(threeUpstreams), 0U);
}

// Guards against comparing an upstream with itself, which could select the most loaded one.
TEST(LocalRoutingTest, twoChoicesNeverSelectsTheMostLoaded)
{
    LocalRouting routing(RoutingMode::TwoChoices, 7);
    for (int choice = 0; choice < 200; ++choice) {
        EXPECT_NE(routing.choose(threeUpstreams), 0U);
    }
}

TEST(LocalRoutingTest, emptyListGivesNothing)
{
    EXPECT_FALSE(LocalRouting(RoutingMode::Random, 1).choose({}).has_value());
}

} // namespace

} // namespace Bergamotramp
