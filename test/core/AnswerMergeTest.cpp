#include "AnswerMerge.h"

#include <gtest/gtest.h>

namespace Bergamotramp {

namespace {

std::string eventOf(const std::string &text)
{
    return nlohmann::json({{"choices", {{{"index", 0}, {"text", text}}}}}).dump();
}

AnswerMerge::Outcome take(AnswerMerge &merge, std::size_t &position, const std::string &text)
{
    return merge.addEvent(position, eventOf(text)).outcome;
}

// Guards against lost or duplicate text when a second attempt sends the same answer, split differently into events.
TEST(AnswerMergeTest, secondAttemptRepeatsAndThenExtendsTheText)
{
    AnswerMerge merge(ModelInterface::Completions);
    std::size_t first = 0;
    EXPECT_EQ(take(merge, first, "one "), AnswerMerge::Outcome::NewText);
    EXPECT_EQ(take(merge, first, "two "), AnswerMerge::Outcome::NewText);
    std::size_t second = 0;
    EXPECT_EQ(take(merge, second, ""), AnswerMerge::Outcome::Duplicate) << "an event without text at the start of a stream";
    EXPECT_EQ(take(merge, second, "one tw"), AnswerMerge::Outcome::Duplicate);
    EXPECT_FALSE(merge.caughtUp(second));
    const AnswerMerge::Result result = merge.addEvent(second, eventOf("o three"));
    EXPECT_EQ(result.outcome, AnswerMerge::Outcome::NewText);
    EXPECT_EQ(ModelAnswer::textOf(ModelInterface::Completions, result.event), "three");
    EXPECT_EQ(merge.answer().text(), "one two three");
    EXPECT_TRUE(merge.caughtUp(second));
    EXPECT_FALSE(merge.caughtUp(first));
}

// Guards against mixing two different texts in one answer.
TEST(AnswerMergeTest, differentTextIsNotMerged)
{
    AnswerMerge merge(ModelInterface::Completions);
    std::size_t first = 0;
    take(merge, first, "one two ");
    std::size_t second = 0;
    EXPECT_EQ(take(merge, second, "one "), AnswerMerge::Outcome::Duplicate);
    EXPECT_EQ(take(merge, second, "six seven"), AnswerMerge::Outcome::Mismatch);
    EXPECT_EQ(merge.answer().text(), "one two ");
}

} // namespace

} // namespace Bergamotramp
