#include "CollectedBytes.h"

namespace Bergamotramp {

// A faulty upstream can fill only the part for large answers, so that the small answers of the others are still collected.
bool CollectedBytes::add(std::size_t held, std::size_t bytes)
{
    const std::size_t available = held + bytes > smallAnswerBytes ? limitForLargeAnswers : limit;
    if (this->count + bytes > available) {
        return false;
    }
    this->count += bytes;
    return true;
}

void CollectedBytes::remove(std::size_t bytes)
{
    this->count -= bytes;
}

std::size_t CollectedBytes::total() const
{
    return this->count;
}

} // namespace Bergamotramp
