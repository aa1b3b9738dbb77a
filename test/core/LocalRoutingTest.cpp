#include "LocalRouting.h"

#include <gtest/gtest.h>

namespace Bergamotramp {

namespace {

const std::vector<LocalLoad> threeUpstreams = {{"a", 4}, {"b", 1}, {"c", 2}};

TEST(LocalRoutingTest, leastInFlightTakesTheMinimum)
{
    EXPECT_EQ(LocalRouting(RoutingMode::LeastInFlight, 1).choose(threeUpstreams), 1U);
}

TEST(LocalRoutingTest, roundRobinVisitsAll)
{
    LocalRouting routing(RoutingMode::RoundRobin, 1);
    EXPECT_EQ(routing.choose(threeUpstreams), 0U);
    EXPECT_EQ(routing.choose(threeUpstreams), 1U);
    EXPECT_EQ(routing.choose(threeUpstreams), 2U);
    EXPECT_EQ(routing.choose(threeUpstreams), 0U);
}

// Guards against comparing an upstream with itself, which would let the most loaded one win.
TEST(LocalRoutingTest, twoChoicesNeverTakesTheMostLoaded)
{
    LocalRouting routing(RoutingMode::TwoChoices, 7);
    for (int draw = 0; draw < 200; ++draw) {
        EXPECT_NE(routing.choose(threeUpstreams), 0U);
    }
}

TEST(LocalRoutingTest, nothingToChooseFrom)
{
    EXPECT_FALSE(LocalRouting(RoutingMode::Random, 1).choose({}).has_value());
}

} // namespace

} // namespace Bergamotramp
