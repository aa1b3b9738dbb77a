#include "JournalObjectReferences.h"

#include <limits>

namespace Bergamotramp {

namespace {

constexpr std::uint32_t untracked = std::numeric_limits<std::uint32_t>::max();

} // namespace

std::uint32_t &JournalObjectReferences::counter(std::uint64_t number)
{
    if (this->counts.empty()) {
        this->firstNumber = number;
    }
    while (number < this->firstNumber) {
        this->counts.push_front(untracked);
        --this->firstNumber;
    }
    while (number >= this->firstNumber + this->counts.size()) {
        this->counts.push_back(untracked);
    }
    return this->counts[number - this->firstNumber];
}

void JournalObjectReferences::track(std::uint64_t number)
{
    std::uint32_t &count = this->counter(number);
    count = count == untracked ? 0 : count;
}

void JournalObjectReferences::addReference(std::uint64_t number, bool largeResult)
{
    this->track(number);
    ++this->counter(number);
    if (largeResult) {
        this->withBodyObjects.insert(number);
    }
}

void JournalObjectReferences::removeReference(std::uint64_t number)
{
    std::uint32_t &count = this->counter(number);
    if (count != untracked && count > 0) {
        --count;
    }
}

void JournalObjectReferences::untrack(std::uint64_t number)
{
    if (number < this->firstNumber || number >= this->firstNumber + this->counts.size()) {
        return;
    }
    this->counts[number - this->firstNumber] = untracked;
    this->withBodyObjects.erase(number);
    while (!this->counts.empty() && this->counts.front() == untracked) {
        this->counts.pop_front();
        ++this->firstNumber;
    }
}

bool JournalObjectReferences::isTracked(std::uint64_t number) const
{
    return number >= this->firstNumber && number < this->firstNumber + this->counts.size() && this->counts[number - this->firstNumber] != untracked;
}

std::vector<std::uint64_t> JournalObjectReferences::unreferenced(std::uint64_t last) const
{
    std::vector<std::uint64_t> numbers;
    for (std::size_t position = 0; position < this->counts.size() && this->firstNumber + position <= last; ++position) {
        if (this->counts[position] == 0) {
            numbers.push_back(this->firstNumber + position);
        }
    }
    return numbers;
}

bool JournalObjectReferences::hasBodyObjects(std::uint64_t number) const
{
    return this->withBodyObjects.contains(number);
}

std::size_t JournalObjectReferences::bytes() const
{
    return this->counts.size() * sizeof(std::uint32_t);
}

void JournalObjectReferences::clear()
{
    this->firstNumber = 0;
    this->counts.clear();
    this->withBodyObjects.clear();
}

} // namespace Bergamotramp
