#include "JournalObjects.h"

#include <limits>

namespace Bergamotramp {

namespace {

constexpr std::uint32_t untracked = std::numeric_limits<std::uint32_t>::max();

} // namespace

std::uint32_t &JournalObjects::counter(std::uint64_t number)
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

void JournalObjects::track(std::uint64_t number)
{
    std::uint32_t &count = this->counter(number);
    count = count == untracked ? 0 : count;
}

void JournalObjects::addReference(std::uint64_t number, bool largeResult)
{
    this->track(number);
    ++this->counter(number);
    if (largeResult) {
        this->withBodyObjects.insert(number);
    }
}

void JournalObjects::removeReference(std::uint64_t number)
{
    std::uint32_t &count = this->counter(number);
    if (count != untracked && count > 0) {
        --count;
    }
}

void JournalObjects::untrack(std::uint64_t number)
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

bool JournalObjects::isTracked(std::uint64_t number) const
{
    return number >= this->firstNumber && number < this->firstNumber + this->counts.size() && this->counts[number - this->firstNumber] != untracked;
}

std::vector<std::uint64_t> JournalObjects::unreferenced(std::uint64_t last) const
{
    std::vector<std::uint64_t> numbers;
    for (std::size_t position = 0; position < this->counts.size() && this->firstNumber + position <= last; ++position) {
        if (this->counts[position] == 0) {
            numbers.push_back(this->firstNumber + position);
        }
    }
    return numbers;
}

bool JournalObjects::hasBodyObjects(std::uint64_t number) const
{
    return this->withBodyObjects.contains(number);
}

std::size_t JournalObjects::bytes() const
{
    return this->counts.size() * sizeof(std::uint32_t);
}

void JournalObjects::clear()
{
    this->firstNumber = 0;
    this->counts.clear();
    this->withBodyObjects.clear();
}

} // namespace Bergamotramp
