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
    std::size_t present = 0;
    bool leading = true;
    std::uint64_t hash = standinHash("");
    for (std::size_t start = 0; start + blockBytes <= prompt.size(); start += blockBytes) {
        hash = standinHash(prompt.substr(start, blockBytes), hash);
        const auto found = this->index.find(hash);
        leading = leading && found != this->index.end();
        present += leading ? blockBytes : 0;
        if (found != this->index.end()) {
            this->recent.splice(this->recent.begin(), this->recent, found->second);
            continue;
        }
        this->recent.push_front(hash);
        this->index[hash] = this->recent.begin();
        this->record(true, hash, now);
    }
    while (this->recent.size() > this->maxBlocks) {
        this->index.erase(this->recent.back());
        this->record(false, this->recent.back(), now);
        this->recent.pop_back();
    }
    return present;
}

std::vector<CacheEvent> EngineCache::events(std::uint64_t since, absl::Time until, std::uint64_t gap) const
{
    std::vector<CacheEvent> found;
    std::copy_if(this->log.begin(), this->log.end(), std::back_inserter(found), [&](const CacheEvent &event) {
        return event.sequence > since && event.time <= until && (gap == 0 || event.sequence % gap != 0);
    });
    return found;
}

std::size_t EngineCache::blocks() const
{
    return this->recent.size();
}

void EngineCache::record(bool stored, std::uint64_t block, absl::Time now)
{
    this->log.push_back({++this->lastSequence, stored, block, now});
    if (this->log.size() > maxLoggedEvents) {
        this->log.pop_front();
    }
}

} // namespace Bergamotramp
