#include "JournalObjects.h"

#include <limits>

namespace Bergamotramp {

namespace {

constexpr std::uint32_t absent = std::numeric_limits<std::uint32_t>::max();

} // namespace

std::uint32_t &JournalObjects::at(std::uint64_t number)
{
    if (this->counts.empty()) {
        this->first = number;
    }
    while (number < this->first) {
        this->counts.push_front(absent);
        --this->first;
    }
    while (number >= this->first + this->counts.size()) {
        this->counts.push_back(absent);
    }
    return this->counts[number - this->first];
}

void JournalObjects::add(std::uint64_t number)
{
    std::uint32_t &count = this->at(number);
    count = count == absent ? 0 : count;
}

void JournalObjects::refer(std::uint64_t number, bool largeResult)
{
    this->add(number);
    ++this->at(number);
    if (largeResult) {
        this->bodies.insert(number);
    }
}

void JournalObjects::release(std::uint64_t number)
{
    std::uint32_t &count = this->at(number);
    if (count != absent && count > 0) {
        --count;
    }
}

void JournalObjects::remove(std::uint64_t number)
{
    if (number < this->first || number >= this->first + this->counts.size()) {
        return;
    }
    this->counts[number - this->first] = absent;
    this->bodies.erase(number);
    while (!this->counts.empty() && this->counts.front() == absent) {
        this->counts.pop_front();
        ++this->first;
    }
}

bool JournalObjects::contains(std::uint64_t number) const
{
    return number >= this->first && number < this->first + this->counts.size() && this->counts[number - this->first] != absent;
}

std::vector<std::uint64_t> JournalObjects::unreferenced(std::uint64_t last) const
{
    std::vector<std::uint64_t> numbers;
    for (std::size_t position = 0; position < this->counts.size() && this->first + position <= last; ++position) {
        if (this->counts[position] == 0) {
            numbers.push_back(this->first + position);
        }
    }
    return numbers;
}

bool JournalObjects::hasBodies(std::uint64_t number) const
{
    return this->bodies.contains(number);
}

std::size_t JournalObjects::bytes() const
{
    return this->counts.size() * sizeof(std::uint32_t);
}

void JournalObjects::clear()
{
    this->first = 0;
    this->counts.clear();
    this->bodies.clear();
}

} // namespace Bergamotramp
