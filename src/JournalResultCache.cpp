#include "JournalResultCache.h"

namespace Bergamotramp {

namespace {

/** Container and allocation overhead per result; 600 bytes were measured with keys of 55 and bodies of 1,000 bytes. */
constexpr std::size_t overheadBytes = 600;

} // namespace

std::size_t JournalResultCache::entryBytes(const std::string &key, const wire::RecordedResult &result)
{
    return overheadBytes + 2 * key.size() + result.body().size();
}

void JournalResultCache::setLimit(std::size_t bytes)
{
    this->limit = bytes;
    this->evictOldest();
}

void JournalResultCache::put(const std::string &key, const wire::RecordedResult &result)
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

const wire::RecordedResult *JournalResultCache::find(const std::string &key) const
{
    const auto found = this->results.find(key);
    return found == this->results.end() ? nullptr : &found->second;
}

void JournalResultCache::erase(const std::string &key)
{
    const auto found = this->results.find(key);
    if (found != this->results.end()) {
        this->usedBytes -= entryBytes(key, found->second);
        this->results.erase(found);
    }
}

void JournalResultCache::evictOldest()
{
    while (this->usedBytes > this->limit && !this->keysByAge.empty()) {
        this->erase(this->keysByAge.front());
        this->keysByAge.pop_front();
    }
}

std::size_t JournalResultCache::bytes() const
{
    return this->usedBytes;
}

void JournalResultCache::clear()
{
    this->usedBytes = 0;
    this->results.clear();
    this->keysByAge.clear();
}

} // namespace Bergamotramp
