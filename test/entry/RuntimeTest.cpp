#include <array>

#include <fcntl.h>
#include <unistd.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "Asio.h"
#include "EntryMetrics.h"
#include "EntrySettings.h"
#include "JsonLog.h"
#include "LoopRunner.h"

namespace Bergamotramp {

namespace {

// Guards against timers that fire out of order or after they were cancelled, also by the callback of another timer.
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

// Guards against one unexpected error in a callback that ends the whole process, with everything else that runs in it.
TEST(EventLoopTest, loopContinuesAfterACallbackHasThrown)
{
    EventLoop loop;
    std::vector<std::string> errors;
    loop.setErrorHandler([&errors](const std::string &error) { errors.push_back(error); });
    const auto fail = [](const char *where) { throw std::runtime_error(where); };
    loop.post([&fail] { fail("posted"); });
    asio::post(loop.context(), [&fail] { fail("socket"); });
    const LoopTimer first = loop.after(absl::Milliseconds(1), [&fail] { fail("timer"); });
    const LoopTimer second = loop.after(absl::Milliseconds(1), [&fail] { fail("timer at the same time"); });
    const LoopTimer last = loop.after(absl::Milliseconds(30), [&loop] { loop.stop(); });
    loop.run();
    EXPECT_EQ(errors, (std::vector<std::string>{"posted", "socket", "timer", "timer at the same time"}));
}

// Guards against a daemon that blocks while its log is not read, and against dropped lines that are not counted.
TEST(JsonLogTest, unreadLogDropsAndCountsLines)
{
    std::array<int, 2> pipeEnds{};
    ASSERT_EQ(pipe(pipeEnds.data()), 0);
    EventLoop loop;
    JsonLog log(loop, "host-1", pipeEnds[1]);
    const std::string text(1000, 'x');
    for (int line = 0; line < 2000; ++line) {
        log.write("line", {{"text", text}});
        log.flush();
    }
    EXPECT_GT(log.droppedLines(), 0U);
    close(pipeEnds[0]);
    close(pipeEnds[1]);
}

// Guards against log lines that are not valid JSON because of bytes from a caller.
TEST(JsonLogTest, linesAreValidJsonForAnyFieldValue)
{
    std::array<int, 2> pipeEnds{};
    ASSERT_EQ(pipe(pipeEnds.data()), 0);
    EventLoop loop;
    JsonLog log(loop, "host-1", pipeEnds[1]);
    log.write("odd", {{"id", std::string("a\"b\\c\n\xff\x01")}, {"count", 3}, {"ok", true}, {"waitMs", absl::Milliseconds(5)}});
    log.flush();
    std::array<char, 1000> buffer{};
    const ssize_t size = read(pipeEnds[0], buffer.data(), buffer.size());
    ASSERT_GT(size, 0);
    const nlohmann::json line = nlohmann::json::parse(std::string(buffer.data(), static_cast<std::size_t>(size)));
    EXPECT_EQ(line["event"], "odd");
    EXPECT_EQ(line["count"], 3);
    EXPECT_EQ(line["waitMs"], 5);
    close(pipeEnds[0]);
    close(pipeEnds[1]);
}

const std::string diskSettings =
    R"({"name": "disk-1", "role": "disk", "region": "north", "dataCentre": "a", "metricsAddress": "127.0.0.1:0", "storeAddress": "127.0.0.1:9")";

// Guards against settings that are accepted although a key is unknown, missing or has a value of the wrong form.
TEST(EntrySettingsTest, errorsNameTheKey)
{
    EXPECT_EQ(EntrySettings::parse("file", diskSettings + "}").role, HostRole::Disk);
    const auto errorText = [](const std::string &text) {
        try {
            EntrySettings::parse("file.json", text);
        } catch (const EntrySettingsError &error) {
            return std::string(error.what());
        }
        return std::string();
    };
    EXPECT_NE(errorText(diskSettings + R"(, "colour": 1})").find("colour"), std::string::npos);
    EXPECT_NE(errorText(diskSettings + R"(, "stopGraceS": "long"})").find("stopGraceS"), std::string::npos);
    EXPECT_NE(errorText(R"({"name": "x", "region": "n", "dataCentre": "a", "storeAddress": "nowhere"})").find("storeAddress"), std::string::npos);
    EXPECT_NE(errorText("{").find("file.json"), std::string::npos);
}

// Guards against a running daemon that ends because its settings are malformed when it reloads them: a reload only expects
// EntrySettingsError.
TEST(EntrySettingsTest, malformedSettingsAreRejectedWithOneTypeOfError)
{
    const std::vector<std::string> texts{"",
                                         "null",
                                         "7",
                                         "[]",
                                         "{}",
                                         "\xc3\x28\xff",
                                         std::string(100'000, '['),
                                         diskSettings + R"(, "stopGraceS": 1e300})",
                                         diskSettings + R"(, "stopGraceS": -1})",
                                         diskSettings + R"(, "maxConnections": 99999999999999999999999})",
                                         diskSettings + R"(, "maxConnections": 1.5})",
                                         diskSettings + R"(, "linkMbps": {}})",
                                         diskSettings + R"(, "hedgeShare": 0.21})",
                                         diskSettings + R"(, "hedgeShare": -0.1})",
                                         diskSettings + R"(, "hedgePercentile": 1})",
                                         diskSettings + R"(, "regions": [1]})",
                                         diskSettings + R"(, "regions": {"a": 1}})",
                                         diskSettings + R"(, "role": 7})",
                                         R"({"name": 7})",
                                         R"({"name": "x", "region": "n", "dataCentre": "a", "storeAddress": "127.0.0.1:99999999999"})"};
    for (const std::string &text : texts) {
        EXPECT_THROW(EntrySettings::parse("file", text), EntrySettingsError) << text.substr(0, 200);
    }
}

// Guards against counters that are missing from the metrics text.
TEST(EntryMetricsTest, textShowsCountersAndHistograms)
{
    EntryMetrics metrics;
    metrics.recordResponse("route-1", 200, absl::Milliseconds(20));
    metrics.recordStoreCall("get", "done");
    const std::string text = metrics.text();
    EXPECT_NE(text.find("bergamotramp_answers_total{route=\"route-1\",status=\"200\"} 1"), std::string::npos);
    EXPECT_NE(text.find("bergamotramp_answer_seconds_bucket"), std::string::npos);
    EXPECT_NE(text.find("bergamotramp_store_calls_total"), std::string::npos);
}

} // namespace

} // namespace Bergamotramp
