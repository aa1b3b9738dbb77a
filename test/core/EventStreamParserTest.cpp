#include "EventStreamParser.h"

#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace Bergamotramp {

namespace {

const std::string text = "id: 1\ndata: one\n\nversion: 3\nid: 2\r\ndata: two\r\ndata: more\r\n\r\nid: 3\ndata:\n\n";

std::vector<StreamEvent> parseInPieces(const std::string &bytes, const std::vector<std::size_t> &pieceLengths)
{
    std::vector<StreamEvent> events;
    EventStreamParser stream([&events](const StreamEvent &event) { events.push_back(event); });
    std::size_t start = 0;
    for (const std::size_t pieceLength : pieceLengths) {
        const std::size_t length = pieceLength % (bytes.size() - start + 1);
        stream.feed(std::string_view(bytes).substr(start, length));
        start += length;
    }
    stream.feed(std::string_view(bytes).substr(start));
    return events;
}

// Guards against changed, merged or lost events when the bytes arrive in pieces of any length.
TEST(EventStreamParserTest, eventsDoNotDependOnTheSplit)
{
    const std::vector<StreamEvent> whole = parseInPieces(text, {});
    ASSERT_EQ(whole.size(), 3U);
    EXPECT_EQ(whole[0].data, "one");
    EXPECT_EQ(whole[1].data, "two\nmore");
    EXPECT_EQ(whole[1].id, 2U);
    EXPECT_EQ(whole[2].data, "");
    EXPECT_EQ(whole[0].frame + whole[1].frame + whole[2].frame, text);
    EXPECT_TRUE(
        rc::check("pieces of any length", [&whole](const std::vector<std::size_t> &pieceLengths) { RC_ASSERT(parseInPieces(text, pieceLengths) == whole); }));
}

// Guards against reporting an event that the upstream did not finish.
TEST(EventStreamParserTest, incompleteEventIsNotReported)
{
    int events = 0;
    EventStreamParser stream([&events](const StreamEvent &) { ++events; });
    stream.feed("id: 1\ndata: one\n\nid: 2\ndata: tw");
    EXPECT_EQ(events, 1);
    EXPECT_FALSE(stream.atBoundary());
}

// Guards against memory that grows with a body that is no event stream and never ends, in one line or in many.
TEST(EventStreamParserTest, eventSizeIsBounded)
{
    for (const std::string &piece : {std::string(1000, 'x'), std::string("data: x\n")}) {
        std::size_t events = 0;
        EventStreamParser parser([&events](const StreamEvent &) { ++events; });
        ASSERT_TRUE(parser.feed("data: first\n\n"));
        std::size_t accepted = 0;
        while (accepted <= 2 * EventStreamParser::maxEventBytes && parser.feed(piece)) {
            accepted += piece.size();
        }
        EXPECT_LE(accepted, EventStreamParser::maxEventBytes);
        EXPECT_FALSE(parser.feed("\n\n")) << "the rest of an oversized event is not reported as an event";
        EXPECT_EQ(events, 1U);
    }
}

} // namespace

} // namespace Bergamotramp
