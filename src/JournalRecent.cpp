#include "JournalRecent.h"

namespace Bergamotramp {

namespace {

/** Tables and allocations around a result; 600 were measured with keys of 55 and bodies of 1,000 bytes. */
constexpr std::size_t overheadBytes = 600;

} // namespace

std::size_t JournalRecent::bytesOf(const std::string &key, const wire::RecordedResult &result)
{
    return overheadBytes + 2 * key.size() + result.body().size();
}

void JournalRecent::setLimit(std::size_t bytes)
{
    this->limit = bytes;
    this->trim();
}

void JournalRecent::put(const std::string &key, const wire::RecordedResult &result)
{
    this->erase(key);
    if (bytesOf(key, result) > this->limit) {
        return;
    }
    this->used += bytesOf(key, result);
    this->results.emplace(key, result);
    this->order.push_back(key);
    this->trim();
}

const wire::RecordedResult *JournalRecent::find(const std::string &key) const
{
    const auto found = this->results.find(key);
    return found == this->results.end() ? nullptr : &found->second;
}

void JournalRecent::erase(const std::string &key)
{
    const auto found = this->results.find(key);
    if (found != this->results.end()) {
        this->used -= bytesOf(key, found->second);
        this->results.erase(found);
    }
}

void JournalRecent::trim()
{
    while (this->used > this->limit && !this->order.empty()) {
        this->erase(this->order.front());
        this->order.pop_front();
    }
}

std::size_t JournalRecent::bytes() const
{
    return this->used;
}

void JournalRecent::clear()
{
    this->used = 0;
    this->results.clear();
    this->order.clear();
}

} // namespace Bergamotramp
