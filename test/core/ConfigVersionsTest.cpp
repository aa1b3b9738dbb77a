#include "ConfigVersions.h"

#include <gtest/gtest.h>

namespace Bergamotramp {

namespace {

// Guards against reporting a rejected version each time that the store or another host sends it.
TEST(ConfigVersionsTest, aRejectedVersionIsSeenOnce)
{
    ConfigVersions versions;
    versions.recordInForce(5);
    EXPECT_TRUE(versions.needsDecoding(7));
    versions.recordRejected(7);
    EXPECT_FALSE(versions.needsDecoding(7));
    EXPECT_EQ(versions.newestSeen(), 7U);
    EXPECT_TRUE(versions.needsDecoding(8));
    versions.recordInForce(8);
    EXPECT_EQ(versions.newestSeen(), 8U);
    EXPECT_FALSE(versions.needsDecoding(5));
}

// Guards against a restarted host that stays without a configuration because it has seen a rejected version first.
TEST(ConfigVersionsTest, anOlderVersionIsUsableAfterARejectedOne)
{
    ConfigVersions versions;
    versions.recordRejected(7);
    EXPECT_TRUE(versions.needsDecoding(5));
    versions.recordInForce(5);
    EXPECT_FALSE(versions.needsDecoding(7));
}

} // namespace

} // namespace Bergamotramp
