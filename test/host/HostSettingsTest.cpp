#include "HostSettings.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace Bergamotramp {

namespace {

nlohmann::json completeSettings()
{
    return {{"name", "host-1"},
            {"region", "nordeste"},
            {"dataCentre", "recife-a"},
            {"callerAddress", "127.0.0.1:1"},
            {"peerAddress", "127.0.0.1:2"},
            {"adminAddress", "127.0.0.1:3"},
            {"storeAddress", "127.0.0.1:4"}};
}

std::string problemOf(const nlohmann::json &settings)
{
    try {
        HostSettings::parse("host.json", settings.dump());
    } catch (const SettingsError &error) {
        return error.what();
    }
    return "";
}

TEST(HostSettingsTest, defaultsFillWhatIsLeftOut)
{
    const HostSettings settings = HostSettings::parse("host.json", completeSettings().dump());
    EXPECT_EQ(settings.routing, RoutingMode::Pool);
    EXPECT_EQ(settings.entryTimeToLive, absl::Seconds(15));
}

// Guards against a host that starts although a setting is invalid or unknown.
TEST(HostSettingsTest, everyProblemIsNamedWithItsPath)
{
    nlohmann::json settings = completeSettings();
    settings["limits"] = {{"bodyBytes", 5}};
    EXPECT_EQ(problemOf(settings), "host.json: limits.bodyBytes: must be an integer from 1024 to 67108864");
    settings = completeSettings();
    settings["peerAddres"] = "x";
    EXPECT_NE(problemOf(settings).find("host.json: peerAddres: unknown key"), std::string::npos);
    settings = completeSettings();
    settings["storeAddress"] = "store";
    EXPECT_EQ(problemOf(settings), "host.json: storeAddress: \"store\" is not an address of the form IP:port");
    settings = completeSettings();
    settings["peerRoutes"] = {{"10.0.0.1:7000", "relay"}};
    EXPECT_EQ(problemOf(settings), "host.json: peerRoutes.10.0.0.1:7000: \"relay\" is not an address of the form IP:port");
    settings = completeSettings();
    settings.erase("name");
    EXPECT_EQ(problemOf(settings), "host.json: name: is missing");
    settings = completeSettings();
    settings["routing"] = "best";
    EXPECT_NE(problemOf(settings).find("routing: \"best\" is not one of: pool, random"), std::string::npos);
}

} // namespace

} // namespace Bergamotramp
