#include "EventStream.h"

#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace Bergamotramp {

namespace {

const std::string text = "id: 1\ndata: one\n\nversion: 3\nid: 2\r\ndata: two\r\ndata: more\r\n\r\nid: 3\ndata:\n\n";

std::vector<StreamEvent> readInPieces(const std::string &bytes, const std::vector<std::size_t> &cuts)
{
    std::vector<StreamEvent> events;
    EventStream stream([&events](const StreamEvent &event) { events.push_back(event); });
    std::size_t start = 0;
    for (const std::size_t cut : cuts) {
        const std::size_t length = cut % (bytes.size() - start + 1);
        stream.feed(std::string_view(bytes).substr(start, length));
        start += length;
    }
    stream.feed(std::string_view(bytes).substr(start));
    return events;
}

// Guards against events that are changed, merged or lost by the way in which their bytes are cut.
TEST(EventStreamTest, eventsDoNotDependOnTheCuts)
{
    const std::vector<StreamEvent> whole = readInPieces(text, {});
    ASSERT_EQ(whole.size(), 3U);
    EXPECT_EQ(whole[0].data, "one");
    EXPECT_EQ(whole[1].data, "two\nmore");
    EXPECT_EQ(whole[1].id, 2U);
    EXPECT_EQ(whole[2].data, "");
    EXPECT_EQ(whole[0].frame + whole[1].frame + whole[2].frame, text);
    EXPECT_TRUE(rc::check("any cuts", [&whole](const std::vector<std::size_t> &cuts) { RC_ASSERT(readInPieces(text, cuts) == whole); }));
}

// Guards against an event that an upstream began and did not end.
TEST(EventStreamTest, cutEventIsNotReported)
{
    int events = 0;
    EventStream stream([&events](const StreamEvent &) { ++events; });
    stream.feed("id: 1\ndata: one\n\nid: 2\ndata: tw");
    EXPECT_EQ(events, 1);
    EXPECT_FALSE(stream.atBoundary());
}

} // namespace

} // namespace Bergamotramp
