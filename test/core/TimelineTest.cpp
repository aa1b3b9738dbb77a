#include "Timeline.h"

#include <gtest/gtest.h>

namespace Bergamotramp {

namespace {

std::vector<std::string> eventNames(const Timeline &timeline, const TimelineFilter &filter)
{
    std::vector<std::string> names;
    for (const TimelineEvent &event : timeline.events(filter)) {
        names.push_back(event.event);
    }
    return names;
}

Timeline twoHosts()
{
    Timeline timeline;
    timeline.add(R"({"t":10,"c":0,"host":"a","event":"accepted","request":"r1"}
{"t":30,"c":1,"host":"a","event":"answered","request":"r1","upstream":"u1"}
{"t":40,"c":0,"host":"a","event":"cut)");
    timeline.add(R"({"t":30,"c":0,"host":"b","event":"granted","request":"r1"}
{"t":20,"c":0,"host":"b","event":"claimed","job":"j1"}
)");
    return timeline;
}

// Guards against ordering by wall time alone, which lists effects before their causes, and against failing on a line cut off by a crash.
TEST(TimelineTest, mergesByHybridTimeAndSkipsTruncatedLines)
{
    const Timeline timeline = twoHosts();
    EXPECT_EQ(eventNames(timeline, {}), (std::vector<std::string>{"accepted", "claimed", "granted", "answered"}));
    EXPECT_EQ(timeline.skippedLines(), 1);
}

// Guards against filters that drop matching events or accept events of another request, job, host or upstream.
TEST(TimelineTest, filtersByRequestJobHostAndUpstream)
{
    const Timeline timeline = twoHosts();
    EXPECT_EQ(eventNames(timeline, {"r1", "", "", ""}), (std::vector<std::string>{"accepted", "granted", "answered"}));
    EXPECT_EQ(eventNames(timeline, {"", "j1", "", ""}), std::vector<std::string>{"claimed"});
    EXPECT_EQ(eventNames(timeline, {"", "", "b", ""}), (std::vector<std::string>{"claimed", "granted"}));
    EXPECT_EQ(eventNames(timeline, {"", "", "", "u1"}), std::vector<std::string>{"answered"});
    EXPECT_EQ(eventNames(timeline, {"r1", "", "b", ""}), std::vector<std::string>{"granted"});
}

} // namespace

} // namespace Bergamotramp
