#include "CollectedBytes.h"

#include <gtest/gtest.h>

namespace Bergamotramp {

namespace {

constexpr std::size_t pieceBytes = 16 * 1024;

// Guards against a faulty upstream whose endless answers leave no room for the small answers of the others.
TEST(CollectedBytesTest, largeAnswersLeaveRoomForSmallOnes)
{
    CollectedBytes collected;
    std::size_t held = 0;
    while (held < 2 * CollectedBytes::limit && collected.add(held, pieceBytes)) {
        held += pieceBytes;
    }
    EXPECT_EQ(held, CollectedBytes::limitForLargeAnswers);
    EXPECT_TRUE(collected.add(0, CollectedBytes::smallAnswerBytes));
    EXPECT_FALSE(collected.add(CollectedBytes::smallAnswerBytes, 1)) << "the answer is no longer small";
}

// Guards against many small answers that exceed the limit together, and against bytes that count after they have been given back.
TEST(CollectedBytesTest, smallAnswersAreBoundedTogether)
{
    CollectedBytes collected;
    std::size_t answers = 0;
    while (answers < 2 * CollectedBytes::limit / pieceBytes && collected.add(0, pieceBytes)) {
        ++answers;
    }
    EXPECT_EQ(answers * pieceBytes, CollectedBytes::limit);
    EXPECT_EQ(collected.total(), CollectedBytes::limit) << "a refused answer is not counted";
    collected.remove(pieceBytes);
    EXPECT_TRUE(collected.add(0, pieceBytes));
}

} // namespace

} // namespace Bergamotramp
