#include "RoutingConfig.h"

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

// Guards against a request that goes to a route with a shorter prefix, or to that of another host.
TEST(RoutingConfigTest, longestPrefixOfTheHostWins)
{
    const RoutingConfig config{.revision = 1, .version = 1, .routes = {route("short", "/a/"), route("long", "/a/b/")}};
    EXPECT_EQ(config.match("host.example", "/a/b/c")->name, "long");
    EXPECT_EQ(config.match("HOST.example:80", "/a/x")->name, "short");
    EXPECT_EQ(config.match("host.example", "/b/"), nullptr);
    EXPECT_EQ(config.match("other.example", "/a/"), nullptr);
}

// Guards against a split that never uses, or uses up, a target at the ends of the range.
TEST(RoutingConfigTest, splitFollowsTheWeights)
{
    Route split = route("split", "/");
    split.targets = {{.service = "nine", .weight = 90.0}, {.service = "one", .weight = 10.0}};
    EXPECT_EQ(chooseTarget(split, 0.0), "nine");
    EXPECT_EQ(chooseTarget(split, 0.89), "nine");
    EXPECT_EQ(chooseTarget(split, 0.91), "one");
    EXPECT_EQ(chooseTarget(split, 1.0), "one");
}

// Guards against a stream that is run twice although nobody may resume it.
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
