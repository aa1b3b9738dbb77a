#include "ServiceSpec.h"

#include <gtest/gtest.h>

namespace Bergamotramp {

namespace {

constexpr const char *minimalFile = R"({"name": "modelo", "upstreams": {"nordeste/recife-a": ["127.0.0.1:9001"]}})";

std::string errorOf(const std::string &text)
{
    try {
        ServiceSpec::parse("modelo.json", text);
    } catch (const ServiceFileError &error) {
        return error.what();
    }
    return "";
}

// Guards against a service that changes when a host writes it as JSON and another host reads it.
TEST(ServiceSpecTest, jsonRoundTripKeepsTheService)
{
    const ServiceSpec spec = ServiceSpec::parse("modelo.json", minimalFile);
    EXPECT_EQ(ServiceSpec::fromJson(spec.toJson(), ""), spec);
}

// Guards against silently ignoring a mistyped key.
TEST(ServiceSpecTest, errorNamesUnknownKeyAndFile)
{
    const std::string message = errorOf(R"({"name": "modelo", "slots": 3})");
    EXPECT_NE(message.find("modelo.json: slots: unknown key"), std::string::npos) << message;
}

TEST(ServiceSpecTest, errorNamesAcceptedValues)
{
    const std::string message = errorOf(R"({"name": "modelo", "kind": "other"})");
    EXPECT_NE(message.find("kind: \"other\" is not one of: model, plain"), std::string::npos) << message;
}

TEST(ServiceSpecTest, rejectsUpstreamWithoutRegion)
{
    const std::string message = errorOf(R"({"name": "modelo", "upstreams": {"recife-a": []}})");
    EXPECT_NE(message.find("upstreams.recife-a"), std::string::npos) << message;
}

// Guards against retrying a non-idempotent call because a route with a shorter prefix is idempotent.
TEST(ServiceSpecTest, longestRoutePrefixDecidesIdempotence)
{
    const ServiceSpec spec = ServiceSpec::parse("vitrine.json", R"({"name": "vitrine", "kind": "plain", "routes": [
        {"path": "/", "idempotent": true}, {"path": "/heat", "idempotent": false}]})");
    EXPECT_TRUE(spec.isIdempotent("/sheets/4"));
    EXPECT_FALSE(spec.isIdempotent("/heat/7"));
}

} // namespace

} // namespace Bergamotramp
