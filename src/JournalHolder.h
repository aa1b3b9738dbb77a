#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include <absl/time/time.h>
#include <nlohmann/json.hpp>

#include "HostContext.h"
#include "JournalShard.h"
#include "TimerService.h"
#include "WorkerPool.h"

namespace Bergamotramp {

/** Runs the journal shards of one host: calls the store for them and passes their answers on. Thread-safe; no call blocks. */
class JournalHolder
{
public:
    /** Called once with the answer, on any thread; must not block. */
    using Answered = std::function<void(const JournalAnswer &)>;
    /** Whether this host ranks first for a shard. */
    using Preferred = std::function<bool(std::uint32_t)>;

    JournalHolder(const HostContext &context, Preferred preferred);
    ~JournalHolder();
    JournalHolder(const JournalHolder &) = delete;
    JournalHolder &operator=(const JournalHolder &) = delete;

    /** Takes the shard over first where this host ranks first for it; otherwise a shard that isn't held is answered NOT_HOLDER. */
    void begin(std::uint32_t shard, const JournalIntent &intent, Answered answered);
    void finish(std::uint32_t shard, const JournalCompletion &completion, Answered answered);
    void read(std::uint32_t shard, const std::string &key, Answered answered);
    /** Gives all shards up once their records are written and takes none any more. */
    void release();
    /** Shards that are held or being taken over. */
    [[nodiscard]] std::size_t activeShards() const;
    [[nodiscard]] nlohmann::json status() const;

private:
    struct Shard {
        explicit Shard(const JournalShardSettings &settings);

        std::mutex mutex;
        JournalShard machine;
        std::map<std::uint64_t, Answered> requests;
        std::uint64_t lastRequest = 0;
        absl::Time nextTakeover = absl::InfinitePast();
        bool wasActive = false;
    };
    using Event = std::function<JournalActions(JournalShard &, std::uint64_t request, absl::Time now)>;

    void request(std::uint32_t number, Answered answered, const Event &event);
    void tick();
    void review();
    [[nodiscard]] std::size_t memoryPerShard() const;
    void reviewShard(std::uint32_t number, bool preferred, std::size_t memory);
    void noteActivity(std::uint32_t number, Shard &shard, absl::Time now);
    void perform(std::uint32_t number, Shard &shard, JournalActions actions, std::vector<std::function<void()>> &replies);
    void readObject(std::uint32_t number, const JournalReadObject &action);
    void writeObject(std::uint32_t number, const JournalWriteObject &action);
    void settled(std::uint32_t number, const std::function<JournalActions(JournalShard &, absl::Time)> &event);
    void removeObjects(const JournalDeleteObjects &obsolete);
    void removeWithBodies(const std::string &key);
    void removeObject(const std::string &key);

    const HostContext context;
    const Preferred preferred;
    std::vector<std::unique_ptr<Shard>> shards;
    std::atomic<bool> releasing{false};
    std::atomic<bool> stopping{false};
    WorkerPool calls;
    WorkerPool removals;
    WorkerPool reviews;
    std::atomic<bool> reviewing{false};
    TimerSubscription ticks;
    TimerSubscription reviewTicks;
};

} // namespace Bergamotramp
