#include "JournalRecent.h"

namespace Bergamotramp {

namespace {

/** Container and allocation overhead per result; 600 bytes were measured with keys of 55 and bodies of 1,000 bytes. */
constexpr std::size_t overheadBytes = 600;

} // namespace

std::size_t JournalRecent::entryBytes(const std::string &key, const wire::RecordedResult &result)
{
    return overheadBytes + 2 * key.size() + result.body().size();
}

void JournalRecent::setLimit(std::size_t bytes)
{
    this->limit = bytes;
    this->evictOldest();
}

void JournalRecent::put(const std::string &key, const wire::RecordedResult &result)
{
    this->erase(key);
    if (entryBytes(key, result) > this->limit) {
        return;
    }
    this->usedBytes += entryBytes(key, result);
    this->results.emplace(key, result);
    this->keysByAge.push_back(key);
    this->evictOldest();
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
        this->usedBytes -= entryBytes(key, found->second);
        this->results.erase(found);
    }
}

void JournalRecent::evictOldest()
{
    while (this->usedBytes > this->limit && !this->keysByAge.empty()) {
        this->erase(this->keysByAge.front());
        this->keysByAge.pop_front();
    }
}

std::size_t JournalRecent::bytes() const
{
    return this->usedBytes;
}

void JournalRecent::clear()
{
    this->usedBytes = 0;
    this->results.clear();
    this->keysByAge.clear();
}

} // namespace Bergamotramp
