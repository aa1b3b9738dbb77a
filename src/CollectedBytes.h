#pragma once

#include <cstddef>

namespace Bergamotramp {

/** Counts the bytes of upstreams' answers that a host holds until they are complete, and bounds them over all answers. */
class CollectedBytes
{
public:
    /** An answer of up to this size may use all of the limit, a larger one only a part of it. */
    static constexpr std::size_t smallAnswerBytes = 64 * 1024;
    /** Bytes of all answers at once. */
    static constexpr std::size_t limit = 24 * 1024 * 1024;
    /** Part of the limit that answers over smallAnswerBytes may fill. */
    static constexpr std::size_t limitForLargeAnswers = 16 * 1024 * 1024;

    /** Adds @p bytes to an answer of which @p held bytes are counted already. Returns false, and counts nothing, if there is no room. */
    [[nodiscard]] bool add(std::size_t held, std::size_t bytes);
    void remove(std::size_t bytes);
    [[nodiscard]] std::size_t total() const;

private:
    std::size_t count = 0;
};

} // namespace Bergamotramp
