#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

#include "PlatformObjects.h"
#include "PlatformServing.h"

namespace Bergamotramp {

namespace {

using nlohmann::json;

json configWith(const json &organisations)
{
    return {{"version", 1}, {"routes", json::array()}, {"tenants", organisations}};
}

DecodedConfig decode(const json &content)
{
    return decodePlatformConfig({.name = "main", .revision = 1, .content = content, .status = {}});
}

/** The path of the rejected entry. */
std::string rejectedEntry(const json &content)
{
    const DecodedConfig decoded = decode(content);
    const auto *rejection = std::get_if<ConfigRejection>(&decoded);
    if (rejection == nullptr || rejection->cause != ConfigRejection::Cause::Invalid) {
        return "not rejected as invalid";
    }
    EXPECT_EQ(rejection->problem.find("secret"), std::string::npos);
    return rejection->entry;
}

// Guards against a contradictory or mistyped version that is put in force, and against a rejection that names no entry or tells a key.
TEST(OrganisationConfigTest, invalidVersionsAreRejectedWithTheEntry)
{
    const json first{{"name", "a"}, {"apiKeys", {"secret-1"}}};
    const auto second = [&first](const json &changes) {
        json changed{{"name", "b"}, {"apiKeys", {"secret-2"}}};
        changed.update(changes);
        return configWith({first, changed});
    };
    EXPECT_EQ(rejectedEntry(second({{"apiKeys", {"secret-2", "secret-1"}}})), "tenants[1].apiKeys[1]");
    EXPECT_EQ(rejectedEntry(second({{"apiKeys", {""}}})), "tenants[1].apiKeys[0]");
    EXPECT_EQ(rejectedEntry(second({{"apiKeys", {7}}})), "tenants[1].apiKeys[0]");
    EXPECT_EQ(rejectedEntry(second({{"apiKeys", "secret"}})), "tenants[1].apiKeys");
    EXPECT_EQ(rejectedEntry(second({{"name", "a"}})), "tenants[1].name");
    EXPECT_EQ(rejectedEntry(second({{"name", ""}})), "tenants[1].name");
    EXPECT_EQ(rejectedEntry(second({{"name", "x\r\ny"}})), "tenants[1].name");
    EXPECT_EQ(rejectedEntry(second({{"ratePerS", -1}})), "tenants[1].ratePerS");
    EXPECT_EQ(rejectedEntry(second({{"ratePerS", 1e300}})), "tenants[1].ratePerS");
    // A number beyond the range of a double arrives as null.
    EXPECT_EQ(rejectedEntry(second({{"ratePerS", nullptr}})), "tenants[1].ratePerS");
    EXPECT_EQ(rejectedEntry(second({{"burst", "9"}})), "tenants[1].burst");
    EXPECT_EQ(rejectedEntry(second({{"priority", 0.5}})), "tenants[1].priority");
    EXPECT_EQ(rejectedEntry(configWith({first, "secret"})), "tenants[1]");
    EXPECT_EQ(rejectedEntry(configWith({{{"name", "a"}}})), "tenants[0].apiKeys");
    EXPECT_EQ(rejectedEntry(configWith({{"secret", 1}})), "tenants");
    json openRoute{{"name", "r"}, {"host", "h"}, {"pathPrefix", "/"}, {"kind", "safe"}, {"service", "s"}, {"public", 1}};
    EXPECT_EQ(rejectedEntry({{"version", 1}, {"routes", {openRoute}}}), "routes[0].public");
    EXPECT_EQ(std::get<ConfigRejection>(decode({{"version", 1}})).cause, ConfigRejection::Cause::Unreadable);
}

// Guards against limits that are lost in decoding, and against a list without organisations that makes all routes public.
TEST(OrganisationConfigTest, validVersionsAreDecoded)
{
    const auto config = std::get<RoutingConfig>(
        decode(configWith({{{"name", "a"}, {"apiKeys", {"1", "2"}}, {"priority", 2}, {"ratePerS", 1.5}, {"burst", 9}}, {{"name", "b"}, {"apiKeys", {"3"}}}})));
    EXPECT_EQ(*config.organisations->findByKey("2"), (Organisation{.name = "a", .priority = 2, .requestsPerSecond = 1.5, .burst = 9}));
    EXPECT_EQ(*config.organisations->findByKey("3"), Organisation{.name = "b"});
    EXPECT_EQ(std::get<RoutingConfig>(decode({{"version", 1}, {"routes", json::array()}})).organisations, nullptr);
    EXPECT_NE(std::get<RoutingConfig>(decode(configWith(json::array()))).organisations, nullptr);
}

// Guards against entries that are lost, or lookups that depend on the size, in the largest configuration.
TEST(OrganisationConfigTest, theLargestConfigurationIsDecoded)
{
    json content = configWith(json::array());
    for (int number = 0; number < 1400; ++number) {
        content["routes"].push_back({{"name", "r"}, {"host", "h"}, {"pathPrefix", absl::StrCat("/", 10000 + number, "/")}, {"kind", "safe"}, {"service", "s"}});
    }
    for (int number = 0; number < 20'000; ++number) {
        if (number % 200 == 0) {
            content["tenants"].push_back({{"name", absl::StrCat("t", number)}, {"apiKeys", json::array()}});
        }
        content["tenants"].back()["apiKeys"].push_back(absl::StrCat("key-", number));
    }
    const auto config = std::get<RoutingConfig>(decode(content));
    EXPECT_EQ(config.organisations->keyCount(), 20'000U);
    EXPECT_EQ(config.organisations->findByKey("key-19999")->name, "t19800");
    EXPECT_EQ(config.match("h", "/11399/x")->pathPrefix, "/11399/");
    EXPECT_EQ(config.routes.lookupsFor("h"), 1U);
}

// Guards against a field for the organisation that an item makes its connection drop, so that an upstream gets no organisation.
TEST(OrganisationConfigTest, connectionOptionsDoNotRemoveTheOrganisation)
{
    const ServingProtocol protocol = platformServing();
    const BatchItem item{.id = "i", .path = "/x", .fields = {{"Connection", "X-Tenant"}, {"x-tenant", "other"}, {"API-KEY", "secret"}}, .body = {}};
    const HttpRequest request = protocol.itemRequest(item, "h", "acme");
    EXPECT_EQ(request.fields.find("X-Tenant"), "acme");
    EXPECT_EQ(request.fields.find("Api-Key"), std::nullopt);
    AttemptParameters parameters;
    parameters.organisation = "acme";
    const HttpRequest attempt = protocol.prepareAttempt(request, UpstreamInfo{}, parameters);
    EXPECT_EQ(attempt.fields.find("X-Tenant"), "acme");
}

} // namespace

} // namespace Bergamotramp
