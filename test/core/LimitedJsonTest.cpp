#include "LimitedJson.h"

#include <gtest/gtest.h>

namespace Bergamotramp {

namespace {

// Guards against one value that no JSON library can hold and that makes the text around it unreadable.
TEST(LimitedJsonTest, valuesOutOfRangeAreLeftOut)
{
    EXPECT_EQ(parseLimitedJson(R"({"a":1e999,"b":[-1e999,7,"1e999"],"c":1.5})"), nlohmann::json::parse(R"({"a":null,"b":[null,7,"1e999"],"c":1.5})"));
    EXPECT_EQ(parseLimitedJson("{\"a\":\"\xc3\x28\",\"b\":\"\xc3\xa9\",\"c\":\"\\\"\\u00e9\"}"),
              nlohmann::json::parse("{\"a\":\"\",\"b\":\"\xc3\xa9\",\"c\":\"\\\"\\u00e9\"}"));
    EXPECT_EQ(parseLimitedJson("[\"a\x01\",1]"), nlohmann::json::parse(R"(["",1])"));
}

// Guards against text that is no JSON and passes because of the repair.
TEST(LimitedJsonTest, textThatIsNoJsonIsRejected)
{
    for (const char *text : {"", "{", "text", "[1e999", "{\"a\":}", "[1,]", "\"\xff", "[01]", "[--1]", "[\"\\"}) {
        EXPECT_THROW(parseLimitedJson(text), nlohmann::json::exception) << text;
        EXPECT_TRUE(parseLimitedJsonOrDiscard(text).is_discarded()) << text;
    }
}

// Guards against a stack that overflows when a deep value is copied or printed.
TEST(LimitedJsonTest, deepValuesAreLeftOut)
{
    const std::string deep = std::string(300'000, '[') + std::string(300'000, ']');
    const nlohmann::json json = parseLimitedJson(R"({"a":1,"b":)" + deep + R"(,"c":1e999})");
    EXPECT_EQ(json.at("a"), 1);
    EXPECT_LT(json.dump().size(), 1000U);
}

// Guards against a text that is passed on or kept with values left out.
TEST(LimitedJsonTest, shallowTextIsKeptWholeOrRejected)
{
    const nlohmann::json expected{{"a", {1, {{"b", "c"}}}}};
    EXPECT_EQ(parseShallowJsonOrDiscard(expected.dump()), expected);
    const std::string deep = std::string(maxJsonLevels + 1, '[') + std::string(maxJsonLevels + 1, ']');
    for (const std::string &text : {R"({"a":)" + deep + "}", std::string("[1e999]"), std::string("[\"\xff\"]"), std::string("text")}) {
        EXPECT_TRUE(parseShallowJsonOrDiscard(text).is_discarded()) << text;
    }
}

} // namespace

} // namespace Bergamotramp
