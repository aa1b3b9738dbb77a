#include "SoleVersion.h"

#include <gtest/gtest.h>

namespace Bergamotramp {

namespace {

// Guards against a read of the store that begins too late, because of a host that knows newer changes than the one whose revision is taken.
TEST(SoleVersionTest, newestRevisionCounts)
{
    const SoleVersion older{.version = "v1", .knownUntilRevision = 7};
    const SoleVersion newer{.version = "v1", .knownUntilRevision = 9};
    EXPECT_EQ(combine({older, newer}), newer);
    EXPECT_EQ(combine({newer, older}), newer);
    EXPECT_EQ(combine({}), std::nullopt);
}

// Guards against a conclusion of one host that outvotes another one.
TEST(SoleVersionTest, hostsThatContradictEachOtherConcludeNothing)
{
    const SoleVersion first{.version = "v1", .knownUntilRevision = 7};
    const SoleVersion second{.version = "v2", .knownUntilRevision = 9};
    EXPECT_EQ(combine({first, first, second}), std::nullopt);
}

// Guards against a conclusion that counts for all time, as hosts of earlier versions state it.
TEST(SoleVersionTest, conclusionWithoutARevisionCountsForNothingButAContradiction)
{
    const SoleVersion unbounded{.version = "v1", .knownUntilRevision = 0};
    EXPECT_EQ(combine({unbounded}), std::nullopt);
    EXPECT_EQ(combine({unbounded, {.version = "v2", .knownUntilRevision = 9}}), std::nullopt);
    EXPECT_EQ(combine({unbounded, {.version = "v1", .knownUntilRevision = 9}}), (SoleVersion{.version = "v1", .knownUntilRevision = 9}));
}

} // namespace

} // namespace Bergamotramp
