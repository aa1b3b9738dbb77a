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

/** Event of the prefix cache: a block of a prompt was stored or evicted. */
struct CacheEvent {
    std::uint64_t sequence = 0;
    bool stored = true;
    std::uint64_t block = 0;
    absl::Time time;

    bool operator==(const CacheEvent &) const = default;
};

/**
 * Prefix cache of the model engine's stand-in. A prompt is divided into blocks of blockBytes, and a block's hash covers
 * the whole prompt up to the block's end. Beyond its limit of blocks, the cache evicts the least recently used ones.
 * Not thread-safe.
 */
class EngineCache
{
public:
    static constexpr std::size_t blockBytes = 64;

    explicit EngineCache(std::size_t maxBlocks);

    /** Stores the prompt's complete blocks; returns how many leading bytes of the prompt were cached before the call. */
    std::size_t store(std::string_view prompt, absl::Time now);
    /**
     * The recorded events with a sequence number above @p since and a time up to @p until. Each @p eventGap-th event is
     * left out, as if its report were lost; 0 leaves out none.
     */
    [[nodiscard]] std::vector<CacheEvent> events(std::uint64_t since, absl::Time until, std::uint64_t eventGap) const;
    [[nodiscard]] std::size_t blocks() const;

private:
    void recordEvent(bool stored, std::uint64_t block, absl::Time now);

    std::size_t maxBlocks;
    std::list<std::uint64_t> blocksByRecency;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> blockIndex;
    std::deque<CacheEvent> eventLog;
    std::uint64_t lastSequence = 0;
};

} // namespace Bergamotramp
