#include "CallerAuthentication.h"

#include <gtest/gtest.h>

namespace Bergamotramp {

namespace {

RoutingConfig configWithKey()
{
    auto table = std::make_shared<ApiKeyTable>();
    table->addKey(*table->addOrganisation({.name = "acme"}), "key");
    return {.revision = 1, .version = 1, .organisations = std::move(table)};
}

CallerCall callWith(std::vector<std::string> keys)
{
    CallerCall call;
    call.apiKeys = std::move(keys);
    return call;
}

// Guards against serving a request without a valid key, and against taking one of several keys.
TEST(CallerAuthenticationTest, onlyOneKnownKeyIsAccepted)
{
    const RoutingConfig config = configWithKey();
    const Authentication accepted = authenticate(config, {}, callWith({"key"}));
    EXPECT_EQ(accepted.refusal, std::nullopt);
    EXPECT_EQ(accepted.callerOrganisation(config), "acme");
    EXPECT_EQ(authenticate(config, {}, callWith({})).refusal->status, 401);
    EXPECT_EQ(authenticate(config, {}, callWith({""})).refusal->status, 401);
    EXPECT_EQ(authenticate(config, {}, callWith({"other"})).refusal->status, 401);
    EXPECT_EQ(authenticate(config, {}, callWith({"key", "key"})).refusal->status, 400);
}

// Guards against refusing requests that need no key, and against attributing them to an organisation.
TEST(CallerAuthenticationTest, publicRoutesAndConfigurationsWithoutOrganisationsNeedNoKey)
{
    Route open;
    open.isPublic = true;
    const RoutingConfig config = configWithKey();
    EXPECT_EQ(authenticate(config, open, callWith({"other"})), Authentication{});
    EXPECT_EQ(authenticate(config, open, callWith({"key"})).callerOrganisation(config), "");
    const RoutingConfig plain{.revision = 1, .version = 1};
    EXPECT_EQ(authenticate(plain, {}, callWith({"key"})), Authentication{});
    EXPECT_EQ(Authentication{}.callerOrganisation(plain), std::nullopt);
}

// Guards against an organisation that becomes invalid while a request that was accepted under an older configuration waits.
TEST(CallerAuthenticationTest, theOrganisationOutlivesItsConfiguration)
{
    const Authentication accepted = authenticate(configWithKey(), {}, callWith({"key"}));
    EXPECT_EQ(accepted.organisation->name, "acme");
}

} // namespace

} // namespace Bergamotramp
