#include "RouteTable.h"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

namespace Bergamotramp {

namespace {

Route route(const std::string &name, const std::string &host, const std::string &prefix)
{
    Route result;
    result.name = name;
    result.host = host;
    result.pathPrefix = prefix;
    return result;
}

// Guards against a choice between routes of the same host and prefix that differs from host to host or from the order of the configuration.
TEST(RouteTableTest, theFirstOfEqualRoutesIsUsed)
{
    const RouteTable table{route("first", "Host.example", "/a/"), route("second", "host.example", "/a/"), route("root", "host.example", "")};
    EXPECT_EQ(table.match("host.EXAMPLE:80", "/a/b")->name, "first");
    EXPECT_EQ(table.match("host.example", "/b")->name, "root");
    EXPECT_EQ(table.match("other.example", "/a/"), nullptr);
    EXPECT_EQ(table.size(), 3U);
}

// Guards against a selection that takes longer with more routes.
TEST(RouteTableTest, lookupsDoNotGrowWithTheRoutes)
{
    RouteTable table;
    for (int number = 0; number < 1400; ++number) {
        table.add(route(absl::StrCat(number), absl::StrCat("host-", number % 7), absl::StrCat("/v", 100000 + number, "/")));
        table.add(route(absl::StrCat("sub-", number), absl::StrCat("host-", number % 7), absl::StrCat("/v", 100000 + number, "/sub/")));
    }
    EXPECT_EQ(table.lookupsFor("host-3"), 2U);
    EXPECT_EQ(table.match("host-3", "/v100010/x")->name, "10");
    EXPECT_EQ(table.match("host-3", "/v100010/sub/x")->name, "sub-10");
    EXPECT_EQ(table.match("host-3", "/v100011/x"), nullptr);
}

} // namespace

} // namespace Bergamotramp
