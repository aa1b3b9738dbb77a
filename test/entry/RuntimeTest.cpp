#include <array>

#include <fcntl.h>
#include <unistd.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "EntryMetrics.h"
#include "EntrySettings.h"
#include "JsonLog.h"
#include "LoopRunner.h"

namespace Bergamotramp {

namespace {

// Guards against timers that fire out of order, after they were cancelled, or when they cancel each other.
TEST(EventLoopTest, timersFireInOrderUnlessCancelled)
{
    EventLoop loop;
    std::string order;
    LoopTimer third;
    const LoopTimer second = loop.after(absl::Milliseconds(20), [&] {
        order += "2";
        third.cancel();
    });
    const LoopTimer first = loop.after(absl::Milliseconds(10), [&order] { order += "1"; });
    third = loop.after(absl::Milliseconds(30), [&order] { order += "3"; });
    bool ended = false;
    const LoopTimer last = loop.after(absl::Milliseconds(50), [&ended] { ended = true; });
    ASSERT_TRUE(runUntil(loop, [&ended] { return ended; }));
    EXPECT_EQ(order, "12");
    EXPECT_FALSE(third.active());
}

// Guards against a daemon that waits for a reader of its log, and against lines that are lost without a count.
TEST(JsonLogTest, unreadLogDropsAndCountsLines)
{
    std::array<int, 2> ends{};
    ASSERT_EQ(pipe(ends.data()), 0);
    EventLoop loop;
    JsonLog log(loop, "host-1", ends[1]);
    const std::string text(1000, 'x');
    for (int line = 0; line < 2000; ++line) {
        log.write("line", {{"text", text}});
        log.flush();
    }
    EXPECT_GT(log.droppedLines(), 0U);
    close(ends[0]);
    close(ends[1]);
}

// Guards against lines that are not JSON because of bytes that a caller sent.
TEST(JsonLogTest, linesAreJsonWhateverTheFieldsHold)
{
    std::array<int, 2> ends{};
    ASSERT_EQ(pipe(ends.data()), 0);
    EventLoop loop;
    JsonLog log(loop, "host-1", ends[1]);
    log.write("odd", {{"id", std::string("a\"b\\c\n\xff\x01")}, {"count", 3}, {"ok", true}, {"waitMs", absl::Milliseconds(5)}});
    log.flush();
    std::array<char, 1000> buffer{};
    const ssize_t size = read(ends[0], buffer.data(), buffer.size());
    ASSERT_GT(size, 0);
    const nlohmann::json line = nlohmann::json::parse(std::string(buffer.data(), static_cast<std::size_t>(size)));
    EXPECT_EQ(line["event"], "odd");
    EXPECT_EQ(line["count"], 3);
    EXPECT_EQ(line["waitMs"], 5);
    close(ends[0]);
    close(ends[1]);
}

const std::string diskSettings =
    R"({"name": "disk-1", "role": "disk", "region": "north", "dataCentre": "a", "metricsAddress": "127.0.0.1:0", "storeAddress": "127.0.0.1:9")";

// Guards against settings that are taken although a key is unknown, missing or of the wrong form.
TEST(EntrySettingsTest, errorsNameTheKey)
{
    EXPECT_EQ(EntrySettings::parse("file", diskSettings + "}").role, HostRole::Disk);
    const auto problem = [](const std::string &text) {
        try {
            EntrySettings::parse("file.json", text);
        } catch (const EntrySettingsError &error) {
            return std::string(error.what());
        }
        return std::string();
    };
    EXPECT_NE(problem(diskSettings + R"(, "colour": 1})").find("colour"), std::string::npos);
    EXPECT_NE(problem(diskSettings + R"(, "stopGraceS": "long"})").find("stopGraceS"), std::string::npos);
    EXPECT_NE(problem(R"({"name": "x", "region": "n", "dataCentre": "a", "storeAddress": "nowhere"})").find("storeAddress"), std::string::npos);
    EXPECT_NE(problem("{").find("file.json"), std::string::npos);
}

// Guards against counters that a scrape does not show.
TEST(EntryMetricsTest, textShowsCountersAndHistograms)
{
    EntryMetrics metrics;
    metrics.answered("route-1", 200, absl::Milliseconds(20));
    metrics.storeCall("get", "done");
    const std::string text = metrics.text();
    EXPECT_NE(text.find("bergamotramp_answers_total{route=\"route-1\",status=\"200\"} 1"), std::string::npos);
    EXPECT_NE(text.find("bergamotramp_answer_seconds_bucket"), std::string::npos);
    EXPECT_NE(text.find("bergamotramp_store_calls_total"), std::string::npos);
}

} // namespace

} // namespace Bergamotramp
