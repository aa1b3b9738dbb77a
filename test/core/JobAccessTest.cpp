#include "JobAccess.h"

#include <gtest/gtest.h>

#include "JobTypes.h"

namespace Bergamotramp {

namespace {

// Guards against access to a job of another organisation, and against a job of before the organisations that becomes inaccessible.
TEST(JobAccessTest, aJobBelongsToItsOrganisation)
{
    EXPECT_EQ(jobAccess("acme", "acme"), JobAccess::Allowed);
    EXPECT_EQ(jobAccess("acme", "other"), JobAccess::Hidden);
    EXPECT_EQ(jobAccess("acme", ""), JobAccess::KeyRequired);
    EXPECT_EQ(jobAccess("acme", std::nullopt), JobAccess::Allowed);
    EXPECT_EQ(jobAccess("", "other"), JobAccess::Allowed);
    EXPECT_EQ(jobAccess("", ""), JobAccess::Allowed);
}

// Guards against items that state a caller's own value for the organisation, and against changed items without organisations.
TEST(JobAccessTest, itemsStateTheOrganisationOfTheirJob)
{
    EXPECT_EQ(itemOrganisation("acme", true), "acme");
    EXPECT_EQ(itemOrganisation("acme", false), "acme");
    EXPECT_EQ(itemOrganisation("", true), "");
    EXPECT_EQ(itemOrganisation("", false), std::nullopt);
}

// Guards against an organisation that is lost with the host that accepted the job, and against line breaks in it that reach an upstream.
TEST(JobAccessTest, theStoredHeaderKeepsTheOrganisation)
{
    JobRecord record{.id = "job", .virtualHost = "h", .pathPrefix = "/", .owner = "o", .submitted = absl::UnixEpoch()};
    EXPECT_FALSE(record.toJson().contains("organisation"));
    EXPECT_EQ(JobRecord::fromJson("job", record.toJson()), record);
    record.organisation = "acme";
    EXPECT_EQ(JobRecord::fromJson("job", record.toJson()), record);
    record.organisation = "acme\r\nX: y";
    EXPECT_THROW(JobRecord::fromJson("job", record.toJson()), JobFormatError);
}

} // namespace

} // namespace Bergamotramp
