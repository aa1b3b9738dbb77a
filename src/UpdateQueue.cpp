#include "UpdateQueue.h"

#include <algorithm>
#include <tuple>

namespace Bergamotramp {

void UpdateQueue::add(const std::string &name)
{
    this->entries[name] = {0, this->nextNumber++};
}

void UpdateQueue::remove(const std::string &name)
{
    this->entries.erase(name);
}

std::vector<std::string> UpdateQueue::take(std::size_t count, std::size_t maxSends)
{
    using Iterator = std::map<std::string, Entry>::iterator;
    std::vector<Iterator> order;
    order.reserve(this->entries.size());
    for (auto entry = this->entries.begin(); entry != this->entries.end(); ++entry) {
        order.push_back(entry);
    }
    const std::size_t taken = std::min(count, order.size());
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(taken), order.end(), [](Iterator left, Iterator right) {
        return std::tuple(left->second.sends, right->second.number) < std::tuple(right->second.sends, left->second.number);
    });
    order.resize(taken);
    std::vector<std::string> names;
    for (const Iterator &entry : order) {
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
