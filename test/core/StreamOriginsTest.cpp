#include "StreamOrigins.h"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

namespace Bergamotramp {

namespace {

const absl::Time start = absl::UnixEpoch() + absl::Hours(1);

StreamOrigin origin(const std::string &version)
{
    return {.service = "model", .softwareVersion = version};
}

// Guards against a late message that replaces what is known of a stream.
TEST(StreamOriginsTest, firstOriginHolds)
{
    StreamOrigins origins;
    origins.add(1, origin("v1"), start);
    origins.add(1, origin("v2"), start + absl::Seconds(1));
    EXPECT_EQ(origins.find(1, start + absl::Seconds(2)), origin("v1"));
    EXPECT_EQ(origins.find(2, start), std::nullopt);
}

// Guards against memory that grows with the number of streams that a host has ever seen.
TEST(StreamOriginsTest, oldAndExcessStreamsAreForgotten)
{
    StreamOrigins origins;
    for (std::uint64_t stream = 0; stream < StreamOrigins::maxStreams + 10; ++stream) {
        origins.add(stream, origin("v1"), start);
    }
    EXPECT_EQ(origins.size(), StreamOrigins::maxStreams);
    EXPECT_EQ(origins.find(0, start), std::nullopt);
    EXPECT_TRUE(origins.find(StreamOrigins::maxStreams + 9, start).has_value());
    const absl::Time later = start + StreamOrigins::retention + absl::Milliseconds(1);
    EXPECT_EQ(origins.find(StreamOrigins::maxStreams + 9, later), std::nullopt);
    origins.add(1, origin("v2"), later);
    EXPECT_EQ(origins.size(), 1U);
}

// Guards against a stream of an upstream without a version that goes on at another one.
TEST(StreamOriginsTest, originWithoutAVersionIsNotKnown)
{
    EXPECT_TRUE(origin("v1").isKnown());
    EXPECT_FALSE(origin("").isKnown());
    EXPECT_FALSE((StreamOrigin{.service = "", .softwareVersion = "v1"}).isKnown());
}

} // namespace

} // namespace Bergamotramp
