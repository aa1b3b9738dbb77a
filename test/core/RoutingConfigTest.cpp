#include "RoutingConfig.h"

#include <map>
#include <set>

#include <gtest/gtest.h>

namespace Bergamotramp {

namespace {

Route route(const std::string &name, const std::string &prefix)
{
    Route result;
    result.name = name;
    result.host = "host.example";
    result.pathPrefix = prefix;
    result.targets = {{.service = name, .weight = 1.0}};
    return result;
}

// Guards against choosing a route with a shorter prefix, or one of another host name.
TEST(RoutingConfigTest, longestPrefixOfTheHostWins)
{
    const RoutingConfig config{.revision = 1, .version = 1, .routes = {route("short", "/a/"), route("long", "/a/b/")}};
    EXPECT_EQ(config.match("host.example", "/a/b/c")->name, "long");
    EXPECT_EQ(config.match("HOST.example:80", "/a/x")->name, "short");
    EXPECT_EQ(config.match("host.example", "/b/"), nullptr);
    EXPECT_EQ(config.match("other.example", "/a/"), nullptr);
}

// Guards against a target that gets too few or too many requests, or no target at the ends of the range from 0 to 1.
TEST(RoutingConfigTest, targetsAreChosenByWeight)
{
    Route split = route("split", "/");
    split.targets = {{.service = "nine", .weight = 90.0}, {.service = "one", .weight = 10.0}};
    const auto first = [&split](double fraction) { return targetOrder(split, fraction).front(); };
    EXPECT_EQ(first(0.0), "nine");
    EXPECT_EQ(first(0.89), "nine");
    EXPECT_EQ(first(0.91), "one");
    EXPECT_EQ(first(1.0), "one");
}

// Guards against requests of a target without upstreams that all go to one of the others, and against targets that an order leaves out.
TEST(RoutingConfigTest, requestsOfAMissingTargetFollowTheWeightsOfTheOthers)
{
    constexpr int draws = 10'000;
    Route split = route("split", "/");
    split.targets = {{.service = "half", .weight = 5.0}, {.service = "four", .weight = 4.0}, {.service = "one", .weight = 1.0}};
    std::map<std::string, int> counts;
    for (int draw = 0; draw < draws; ++draw) {
        const std::vector<std::string> order = targetOrder(split, (draw + 0.5) / draws);
        EXPECT_EQ(std::set<std::string>(order.begin(), order.end()).size(), split.targets.size());
        ++counts[chooseTarget(order, [](const std::string &service) { return service != "half"; })];
    }
    EXPECT_EQ(counts["half"], 0);
    EXPECT_NEAR(counts["four"], draws * 0.8, draws * 0.01);
    EXPECT_NEAR(counts["one"], draws * 0.2, draws * 0.01);
}

// Guards against requests to a target from which the operator has taken all weight, and against a route without any target.
TEST(RoutingConfigTest, targetsWithoutAWeightGetNoRequests)
{
    Route split = route("split", "/");
    split.targets = {{.service = "old", .weight = 0.0}, {.service = "new", .weight = 10.0}};
    for (const double fraction : {0.0, 0.5, 1.0}) {
        EXPECT_EQ(targetOrder(split, fraction), std::vector<std::string>{"new"});
    }
    split.targets[1].weight = 0.0;
    EXPECT_EQ(targetOrder(split, 0.25), (std::vector<std::string>{"old", "new"}));
    EXPECT_EQ(targetOrder(split, 0.75), (std::vector<std::string>{"new", "old"}));
}

// Guards against a refusal that names a target by chance while none of them has an upstream.
TEST(RoutingConfigTest, firstTargetIsChosenWhileNoneHasAnUpstream)
{
    EXPECT_EQ(chooseTarget({"b", "a"}, [](const std::string &) { return false; }), "b");
}

// Guards against running a request twice although its stream is not resumable.
TEST(RoutingConfigTest, onlyResumableStreamsAreRepeatable)
{
    Route stream = route("stream", "/");
    stream.kind = RouteKind::Stream;
    EXPECT_FALSE(stream.repeatable());
    stream.resumable = true;
    EXPECT_TRUE(stream.repeatable());
    stream.kind = RouteKind::NonIdempotent;
    EXPECT_FALSE(stream.repeatable());
}

} // namespace

} // namespace Bergamotramp
