#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <absl/time/time.h>

namespace Bergamotramp {

/** An engine's report that a block of prompt prefix was stored or evicted. */
struct CacheEvent {
    std::uint64_t sequence = 0;
    bool stored = true;
    std::uint64_t block = 0;
    absl::Time time;

    bool operator==(const CacheEvent &) const = default;
};

/**
 * Prompt prefix cache of the engine's stand-in, in bounded memory. A prompt is cut into blocks; the hash of a block
 * covers all that precedes it. The least recently used blocks are evicted. Not thread-safe.
 */
class EngineCache
{
public:
    static constexpr std::size_t blockBytes = 64;

    explicit EngineCache(std::size_t maxBlocks);

    /** Stores the prompt's blocks; returns how many of its leading bytes were present before. */
    std::size_t store(std::string_view prompt, absl::Time now);
    /** The recorded events after @p since and up to the time @p until; each @p gap-th one is missing. */
    [[nodiscard]] std::vector<CacheEvent> events(std::uint64_t since, absl::Time until, std::uint64_t gap) const;
    [[nodiscard]] std::size_t blocks() const;

private:
    void record(bool stored, std::uint64_t block, absl::Time now);

    std::size_t maxBlocks;
    std::list<std::uint64_t> recent;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> index;
    std::deque<CacheEvent> log;
    std::uint64_t lastSequence = 0;
};

} // namespace Bergamotramp
