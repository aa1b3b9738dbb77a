#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include <absl/time/time.h>

#include "JournalActions.h"
#include "JournalAppend.h"
#include "JournalCompaction.h"
#include "JournalDeferred.h"
#include "JournalFences.h"
#include "JournalIndex.h"
#include "JournalKeys.h"
#include "JournalPacing.h"
#include "JournalQueue.h"
#include "JournalRecent.h"
#include "JournalReplay.h"
#include "JournalRequest.h"

namespace Bergamotramp {

/** Identity and limits of a shard's holder. */
struct JournalShardSettings {
    std::uint32_t shard = 0;
    std::string host;
    std::uint64_t incarnation = 0;
    /** How long keys are kept after their last attempt ended: at least the shortest, up to the longest while the bytes suffice. */
    JournalRetentionLimits retention{absl::Hours(1), absl::Hours(24)};
    /** Memory for the index and recent results; new keys are refused when it doesn't suffice for the shortest retention. */
    std::size_t memoryBytes = 12 * 1024 * 1024;
    /** The longest wait of a request for the store. */
    absl::Duration requestWait = absl::Seconds(2);
    absl::Duration firstBackoff = absl::Milliseconds(50);
    absl::Duration longestBackoff = absl::Seconds(1);
    /** The shortest time between two appends; records that arrive meanwhile share the next object. */
    absl::Duration appendInterval = absl::Milliseconds(40);
    /** Records in one object of the store; values are limited to 1 MB. */
    std::size_t objectBytes = 900'000;
    /** Records that may wait for the store. */
    std::size_t queueBytes = 8'000'000;
    /** Objects after which a snapshot is written when it would not be much larger than they are. */
    std::size_t snapshotObjects = 128;
    /** Objects after which a snapshot is written in any case; bounds the replay of a takeover. */
    std::size_t longestChain = 1024;
    /** Keys in one part of a snapshot; bounds the time for which building one holds up requests. */
    std::size_t partKeys = 8192;
};

/**
 * One shard of the request journal at one host: takes the shard over, keeps its index and appends records to its chain of objects.
 * Not thread-safe. At most one read or write of the store is outstanding.
 *
 * The chain: objects are created only if absent at the next number. The first object of each holder is an opening without records, so a
 * former holder's next append always meets it, however long that one was paused. An opening is deleted only when the holder before it is known
 * to append no more. Objects that hold results stay until their keys are gone; the index refers to them.
 */
class JournalShard
{
public:
    explicit JournalShard(JournalShardSettings settings);
    ~JournalShard() = default;
    JournalShard(const JournalShard &) = delete;
    JournalShard &operator=(const JournalShard &) = delete;

    /** Starts to take the shard over unless it is held or being taken already. */
    JournalActions takeOver(absl::Time now);
    /** Stops holding once queued records are written; new requests are answered NOT_HOLDER. */
    JournalActions release(absl::Time now);
    JournalActions begin(std::uint64_t request, const JournalIntent &intent, absl::Time now);
    JournalActions finish(std::uint64_t request, const JournalCompletion &completion, absl::Time now);
    JournalActions read(std::uint64_t request, const std::string &key, absl::Time now);
    JournalActions objectRead(std::uint64_t ticket, const JournalReadResult &result, absl::Time now);
    JournalActions writeSettled(std::uint64_t ticket, const WriteResult &result, absl::Time now);
    JournalActions tick(absl::Time now);
    /** Changes the limit of the memory for the index and recent results. */
    void setMemory(std::size_t bytes);

    /** Whether the shard is held or being taken over. */
    [[nodiscard]] bool active() const;
    [[nodiscard]] bool loaded() const;
    [[nodiscard]] std::size_t entryCount() const;
    /** Memory of the index and recent results, estimated. */
    [[nodiscard]] std::size_t memoryUsed() const;
    /** The part of it that recent results take. */
    [[nodiscard]] std::size_t recentBytes() const;
    [[nodiscard]] std::size_t queuedRecords() const;
    [[nodiscard]] std::uint64_t nextNumber() const;

private:
    /** What the outstanding read or write is for, or what is retried after a backoff. */
    enum class Step {
        /** Not held. */
        Idle,
        /** Held with nothing outstanding. */
        Ready,
        ReadRoot,
        ReadPart,
        Replay,
        Append,
        /** Reads the object at the append's number, to learn whose it is. */
        ReadBack,
        /** Reads the snapshot, to learn whether the append's number was already covered by it. */
        Verify,
        /** Reads the next number during an outage; absence proves that nobody has taken over. */
        Probe,
        WritePart,
        RecheckRoot,
        WriteRoot,
        /** Tells successors that this process appends no more; the holding ends with whatever answer. */
        Close,
    };

    // Requests.
    JournalActions accept(JournalRequest request, absl::Time now);
    [[nodiscard]] bool full(const JournalEvent &event, absl::Time now) const;
    [[nodiscard]] JournalDecision decide(const JournalEvent &event, absl::Time now) const;
    void evaluate(const JournalRequest &request, absl::Time now, JournalActions &actions);
    [[nodiscard]] wire::RecordedResult resultOf(const std::string &key) const;
    void serveWaiting(absl::Time now, JournalActions &actions);
    void expireWaiting(absl::Time now, JournalActions &actions);
    void expireDeferred(absl::Time now, JournalActions &actions);
    void refuseWaiting(JournalActions &actions);
    [[nodiscard]] bool neverStarted(const JournalDeferredAnswer &answer, std::uint64_t sequence) const;
    [[nodiscard]] bool grantStands(const JournalDeferredAnswer &answer, absl::Time now) const;

    // Takeover.
    void reload(JournalActions &actions);
    void readNextPart(JournalActions &actions);
    void rootRead(const JournalReadResult &result, absl::Time now, JournalActions &actions);
    void partRead(const JournalReadResult &result, absl::Time now, JournalActions &actions);
    void chainRead(const JournalReadResult &result, absl::Time now, JournalActions &actions);

    // Appending.
    void startNext(absl::Time now, JournalActions &actions);
    void sendAppend(absl::Time now, JournalActions &actions);
    void sendClosing(absl::Time now, JournalActions &actions);
    void sendProbe(absl::Time now, JournalActions &actions);
    void follow(JournalVerdict verdict, const JournalReadResult &result, absl::Time now, JournalActions &actions);
    void verified(const JournalReadResult &result, absl::Time now, JournalActions &actions);
    void probed(const JournalReadResult &result, absl::Time now, JournalActions &actions);
    void durable(absl::Time now, JournalActions &actions);
    void commit(absl::Time now, JournalActions &actions);
    void dropAbandoned(const JournalQueued &queued, absl::Time now);
    void lose(JournalActions &actions);
    void reset();

    // Compaction.
    void sendPart(absl::Time now, JournalActions &actions);
    void partSettled(const WriteResult &result, absl::Time now, JournalActions &actions);
    void rootRechecked(const JournalReadResult &result, absl::Time now, JournalActions &actions);
    void rootSettled(const WriteResult &result, absl::Time now, JournalActions &actions);
    void postponeSnapshot(absl::Time now, JournalActions &actions);

    // Calls of the store.
    void sendRead(Step next, const std::string &key, JournalActions &actions);
    void sendWrite(Step next, JournalWriteObject write, JournalActions &actions);
    void backOff(Step retry, absl::Time now);
    void resume(absl::Time now, JournalActions &actions);

    const JournalShardSettings settings;
    const JournalKeys keys;
    JournalIndex index;
    JournalFences fences;
    JournalRecent recent;
    JournalQueue queue;
    JournalDeferred deferred;
    JournalCompaction compaction;
    JournalReplay replay;
    JournalAppend append;
    JournalPacing pacing;

    Step step = Step::Idle;
    bool held = false;
    bool releasing = false;
    std::uint64_t lastTicket = 0;
    std::uint64_t outstanding = 0;
    absl::Time lastAppend = absl::InfinitePast();
    absl::Time probeSent = absl::InfinitePast();
    /** This host was certainly the holder at this time. */
    absl::Time holderAt = absl::InfinitePast();
    std::uint64_t number = 1;
    /** A snapshot's next part goes before the next append. */
    bool snapshotTurn = false;
    std::size_t memoryLimit;
    std::size_t nextSweep = 0;
    std::deque<JournalRequest> waiting;
};

} // namespace Bergamotramp
