#include "AnswerMerge.h"

#include <gtest/gtest.h>

namespace Bergamotramp {

namespace {

std::string eventOf(const std::string &text)
{
    return nlohmann::json({{"choices", {{{"index", 0}, {"text", text}}}}}).dump();
}

AnswerMerge::Step take(AnswerMerge &merge, std::size_t &position, const std::string &text)
{
    return merge.take(position, eventOf(text)).step;
}

// Guards against lost or duplicate text when a second attempt sends the same answer, split differently into events.
TEST(AnswerMergeTest, secondAttemptRepeatsAndThenExtendsTheText)
{
    AnswerMerge merge(ModelInterface::Completions);
    std::size_t first = 0;
    EXPECT_EQ(take(merge, first, "one "), AnswerMerge::Step::Extends);
    EXPECT_EQ(take(merge, first, "two "), AnswerMerge::Step::Extends);
    std::size_t second = 0;
    EXPECT_EQ(take(merge, second, ""), AnswerMerge::Step::Repeats) << "an event without text at the start of a stream";
    EXPECT_EQ(take(merge, second, "one tw"), AnswerMerge::Step::Repeats);
    EXPECT_FALSE(merge.caughtUp(second));
    const AnswerMerge::Piece result = merge.take(second, eventOf("o three"));
    EXPECT_EQ(result.step, AnswerMerge::Step::Extends);
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
    EXPECT_EQ(take(merge, second, "one "), AnswerMerge::Step::Repeats);
    EXPECT_EQ(take(merge, second, "six seven"), AnswerMerge::Step::Differs);
    EXPECT_EQ(merge.answer().text(), "one two ");
}

} // namespace

} // namespace Bergamotramp
