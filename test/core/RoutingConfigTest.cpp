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
    EXPECT_EQ(chooseTarget(split, 0.0), "nine");
    EXPECT_EQ(chooseTarget(split, 0.89), "nine");
    EXPECT_EQ(chooseTarget(split, 0.91), "one");
    EXPECT_EQ(chooseTarget(split, 1.0), "one");
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
