#include "EngineCache.h"

#include <algorithm>

#include "StandinText.h"

namespace Bergamotramp {

namespace {

constexpr std::size_t maxLoggedEvents = 20'000;

} // namespace

EngineCache::EngineCache(std::size_t maxBlocks) : maxBlocks(maxBlocks)
{
}

std::size_t EngineCache::store(std::string_view prompt, absl::Time now)
{
    std::size_t cachedBytes = 0;
    bool inCachedPrefix = true;
    std::uint64_t hash = standinHash("");
    for (std::size_t start = 0; start + blockBytes <= prompt.size(); start += blockBytes) {
        hash = standinHash(prompt.substr(start, blockBytes), hash);
        const auto found = this->blockIndex.find(hash);
        inCachedPrefix = inCachedPrefix && found != this->blockIndex.end();
        cachedBytes += inCachedPrefix ? blockBytes : 0;
        if (found != this->blockIndex.end()) {
            this->blocksByRecency.splice(this->blocksByRecency.begin(), this->blocksByRecency, found->second);
            continue;
        }
        this->blocksByRecency.push_front(hash);
        this->blockIndex[hash] = this->blocksByRecency.begin();
        this->recordEvent(true, hash, now);
    }
    while (this->blocksByRecency.size() > this->maxBlocks) {
        this->blockIndex.erase(this->blocksByRecency.back());
        this->recordEvent(false, this->blocksByRecency.back(), now);
        this->blocksByRecency.pop_back();
    }
    return cachedBytes;
}

std::vector<CacheEvent> EngineCache::events(std::uint64_t since, absl::Time until, std::uint64_t eventGap) const
{
    std::vector<CacheEvent> found;
    std::copy_if(this->eventLog.begin(), this->eventLog.end(), std::back_inserter(found), [&](const CacheEvent &event) {
        return event.sequence > since && event.time <= until && (eventGap == 0 || event.sequence % eventGap != 0);
    });
    return found;
}

std::size_t EngineCache::blocks() const
{
    return this->blocksByRecency.size();
}

void EngineCache::recordEvent(bool stored, std::uint64_t block, absl::Time now)
{
    this->eventLog.push_back({++this->lastSequence, stored, block, now});
    if (this->eventLog.size() > maxLoggedEvents) {
        this->eventLog.pop_front();
    }
}

} // namespace Bergamotramp
