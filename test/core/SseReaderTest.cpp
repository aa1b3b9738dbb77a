#include "SseReader.h"

#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "ModelAnswer.h"

namespace Bergamotramp {

namespace {

// Guards against lost or split events when the stream arrives in pieces of any length.
TEST(SseReaderTest, eventsDoNotDependOnTheSplit)
{
    EXPECT_TRUE(rc::check([] {
        const std::vector<std::string> sent = *rc::gen::container<std::vector<std::string>>(rc::gen::nonEmpty(rc::gen::string<std::string>()));
        std::string stream;
        std::vector<std::string> expected;
        for (const std::string &text : sent) {
            const std::string data = nlohmann::json(text).dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
            expected.push_back(data);
            stream += sseFrame(data);
        }
        std::vector<std::string> received;
        SseReader reader([&received](std::string_view data) { received.emplace_back(data); });
        std::size_t start = 0;
        while (start < stream.size()) {
            const std::size_t length = *rc::gen::inRange<std::size_t>(1, 20);
            reader.feed(std::string_view(stream).substr(start, length));
            start += length;
        }
        RC_ASSERT(received == expected);
    }));
}

TEST(ModelAnswerTest, joinsChatEventsIntoOneMessage)
{
    ModelAnswer answer(ModelInterface::ChatCompletions);
    answer.add(R"({"id": "a", "choices": [{"delta": {"role": "assistant"}}]})");
    answer.add(R"({"id": "a", "choices": [{"delta": {"content": "one"}}]})");
    answer.add(R"({"id": "a", "choices": [{"delta": {"content": " two"}, "finish_reason": "stop"}], "usage": {"completion_tokens": 2}})");
    const nlohmann::json response = nlohmann::json::parse(answer.toResponseBody());
    EXPECT_EQ(response["choices"][0]["message"]["content"], "one two");
    EXPECT_EQ(response["usage"]["completion_tokens"], 2);
    EXPECT_EQ(answer.tokens(), 2U);
}

} // namespace

} // namespace Bergamotramp
