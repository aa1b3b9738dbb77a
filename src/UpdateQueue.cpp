#include "UpdateQueue.h"

#include <algorithm>
#include <tuple>

namespace Bergamotramp {

void UpdateQueue::add(const std::string &name)
{
    this->entries[name] = {0, this->nextInsertionNumber++};
}

void UpdateQueue::remove(const std::string &name)
{
    this->entries.erase(name);
}

std::vector<std::string> UpdateQueue::take(std::size_t count, std::size_t maxSends)
{
    using Iterator = std::map<std::string, Entry>::iterator;
    std::vector<Iterator> candidates;
    candidates.reserve(this->entries.size());
    for (auto entry = this->entries.begin(); entry != this->entries.end(); ++entry) {
        candidates.push_back(entry);
    }
    const std::size_t taken = std::min(count, candidates.size());
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(taken), candidates.end(), [](Iterator left, Iterator right) {
        return std::tuple(left->second.sends, right->second.insertionNumber) < std::tuple(right->second.sends, left->second.insertionNumber);
    });
    candidates.resize(taken);
    std::vector<std::string> names;
    for (const Iterator &entry : candidates) {
        names.push_back(entry->first);
        if (++entry->second.sends >= maxSends) {
            this->entries.erase(entry);
        }
    }
    return names;
}

std::size_t UpdateQueue::size() const
{
    return this->entries.size();
}

} // namespace Bergamotramp
