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

/** Runs the journal shards of one host: performs their store calls and passes their answers to the callers. Thread-safe; no call blocks. */
class JournalHolder
{
public:
    /** Called once with the answer to a request, on any thread; must not block. */
    using AnswerCallback = std::function<void(const JournalAnswer &)>;
    /** Returns whether this host ranks first for a shard among the live hosts (rendezvous hashing). */
    using RanksFirst = std::function<bool(std::uint32_t)>;

    JournalHolder(const HostContext &context, RanksFirst ranksFirst);
    ~JournalHolder();
    JournalHolder(const JournalHolder &) = delete;
    JournalHolder &operator=(const JournalHolder &) = delete;

    /** Takes the shard over if this host ranks first for it. Otherwise the answer for a shard that isn't held is NOT_HOLDER. */
    void begin(std::uint32_t shard, const JournalIntent &intent, AnswerCallback onAnswer);
    void finish(std::uint32_t shard, const JournalCompletion &completion, AnswerCallback onAnswer);
    void withdraw(std::uint32_t shard, const JournalWithdrawal &withdrawal, AnswerCallback onAnswer);
    void read(std::uint32_t shard, const std::string &key, AnswerCallback onAnswer);
    /** Releases all shards once their queued records are written, and takes over no more. */
    void release();
    /** Shards that are held or being taken over. */
    [[nodiscard]] std::size_t activeShards() const;
    [[nodiscard]] nlohmann::json status() const;

private:
    struct Shard {
        explicit Shard(const JournalShardSettings &settings);

        std::mutex mutex;
        JournalShard stateMachine;
        std::map<std::uint64_t, AnswerCallback> requests;
        std::uint64_t lastRequest = 0;
        absl::Time nextTakeover = absl::InfinitePast();
        bool wasActive = false;
    };
    using ShardCall = std::function<JournalActions(JournalShard &, std::uint64_t request, absl::Time now)>;

    void request(std::uint32_t number, AnswerCallback onAnswer, const ShardCall &call);
    void tick();
    void rebalance();
    [[nodiscard]] std::size_t memoryPerShard() const;
    void rebalanceShard(std::uint32_t number, bool ranksFirstHere, std::size_t memory);
    void recordActivityChange(std::uint32_t number, Shard &shard, absl::Time now);
    void perform(std::uint32_t number, Shard &shard, JournalActions actions, std::vector<std::function<void()>> &replies);
    void readObject(std::uint32_t number, const JournalReadObject &action);
    void writeObject(std::uint32_t number, const JournalWriteObject &action);
    void handleStoreResult(std::uint32_t number, const std::function<JournalActions(JournalShard &, absl::Time)> &call);
    void removeObjects(const JournalDeleteObjects &obsolete);
    void removeWithBodyObjects(const std::string &key);
    void removeObject(const std::string &key);

    const HostContext context;
    const RanksFirst ranksFirst;
    std::vector<std::unique_ptr<Shard>> shards;
    std::atomic<bool> releasing{false};
    std::atomic<bool> stopping{false};
    WorkerPool storeCalls;
    WorkerPool removals;
    WorkerPool rebalanceWorker;
    std::atomic<bool> rebalancing{false};
    TimerSubscription tickTimer;
    TimerSubscription rebalanceTimer;
};

} // namespace Bergamotramp
