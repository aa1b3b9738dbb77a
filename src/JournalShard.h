#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include <absl/time/time.h>

#include "JournalActions.h"
#include "JournalAppend.h"
#include "JournalBackoff.h"
#include "JournalCompaction.h"
#include "JournalDeferredReplies.h"
#include "JournalFences.h"
#include "JournalIndex.h"
#include "JournalObjectKeys.h"
#include "JournalQueue.h"
#include "JournalReplay.h"
#include "JournalRequest.h"
#include "JournalResultCache.h"

namespace Bergamotramp {

/** Identity and limits of one journal shard on one host. */
struct JournalShardSettings {
    std::uint32_t shard = 0;
    std::string host;
    std::uint64_t incarnation = 0;
    /** Retention of a key after its last attempt ended: at least the shortest, and up to the longest while the memory suffices. */
    JournalRetentionLimits retention{absl::Hours(1), absl::Hours(24)};
    /** Memory for the index and the result cache. New keys are refused when it doesn't suffice for the shortest retention. */
    std::size_t memoryBytes = 12 * 1024 * 1024;
    /** How long a request waits for a takeover or for the store. After that it is answered UNAVAILABLE. */
    absl::Duration requestTimeout = absl::Seconds(2);
    absl::Duration initialBackoff = absl::Milliseconds(50);
    absl::Duration maxBackoff = absl::Seconds(1);
    /** Minimum time between two appends. Records that arrive in between are written together in the next object. */
    absl::Duration appendInterval = absl::Milliseconds(40);
    /** Maximum size of the records in one store object. The store limits values to 1 MB. */
    std::size_t maxObjectBytes = 900'000;
    /** Size of the queued records above which requests are answered UNAVAILABLE. */
    std::size_t maxQueueBytes = 8'000'000;
    /** A snapshot is written when this many chain objects follow the last snapshot and take at least a quarter of its size. */
    std::size_t snapshotAfterObjects = 128;
    /** A snapshot is written in any case when this many chain objects follow the last snapshot. Bounds the replay at a takeover. */
    std::size_t maxChainObjects = 1024;
    /** Maximum number of keys in one part of a snapshot. Bounds the time for which building a part delays requests. */
    std::size_t maxPartKeys = 8192;
};

/**
 * One shard of the request journal on one host. Takes the shard over, keeps its index in memory and appends records to its chain.
 * Not thread-safe. At most one read or write of the store is outstanding.
 *
 * The chain is the log of the shard: numbered store objects with records. The holder is the host that may append to it. An object is created
 * at the next number, and only if none exists there. A new holder first creates an opening, which is an object without records. The next
 * append of the previous holder then fails, however long that holder was paused. An opening is deleted only when the previous holder is known
 * to append no more. Objects with results are kept until their keys have expired, because the index refers to them.
 */
class JournalShard
{
public:
    explicit JournalShard(JournalShardSettings settings);
    ~JournalShard() = default;
    JournalShard(const JournalShard &) = delete;
    JournalShard &operator=(const JournalShard &) = delete;

    /** Starts a takeover. If the shard is held or being taken over already, only cancels its release. */
    JournalActions takeOver(absl::Time now);
    /** Releases the shard once the queued records are written. New requests are answered NOT_HOLDER. */
    JournalActions release(absl::Time now);
    JournalActions begin(std::uint64_t requestId, const JournalIntent &intent, absl::Time now);
    JournalActions finish(std::uint64_t requestId, const JournalCompletion &completion, absl::Time now);
    JournalActions withdraw(std::uint64_t requestId, const JournalWithdrawal &withdrawal, absl::Time now);
    JournalActions read(std::uint64_t requestId, const std::string &key, absl::Time now);
    JournalActions handleReadResult(std::uint64_t ticket, const JournalReadResult &result, absl::Time now);
    JournalActions handleWriteResult(std::uint64_t ticket, const WriteResult &result, absl::Time now);
    JournalActions tick(absl::Time now);
    /** Changes the memory limit for the index and the result cache. */
    void setMemoryLimit(std::size_t bytes);

    /** Whether the shard is held or being taken over. */
    [[nodiscard]] bool active() const;
    [[nodiscard]] bool loaded() const;
    [[nodiscard]] std::size_t keyCount() const;
    /** Estimated memory of the index and the result cache, in bytes. */
    [[nodiscard]] std::size_t memoryUsed() const;
    /** The part of memoryUsed() that the result cache takes. */
    [[nodiscard]] std::size_t resultCacheBytes() const;
    [[nodiscard]] std::size_t queuedRecords() const;
    [[nodiscard]] std::uint64_t nextNumber() const;

private:
    /** Purpose of the outstanding store call, or of the one that is retried after a backoff. */
    enum class Step {
        /** Not held. */
        Idle,
        /** Held, with no store call outstanding. */
        Ready,
        ReadRoot,
        ReadPart,
        Replay,
        Append,
        /** Reads the object at the append's number to find out which host wrote it. */
        ReadBack,
        /** Reads the snapshot's root to find out whether the snapshot already covers the append's number. */
        Verify,
        /** Reads the object at the next number during a store outage. Its absence proves that no other host has taken the shard over. */
        Probe,
        WritePart,
        RecheckRoot,
        WriteRoot,
        /** Writes a closing object, which tells later holders that this process appends no more. Whatever the outcome, the shard is then released. */
        Close,
    };

    // Requests.
    JournalActions accept(JournalRequest request, absl::Time now);
    [[nodiscard]] bool indexFullFor(const JournalEvent &event, absl::Time now) const;
    [[nodiscard]] JournalDecision decide(const JournalEvent &event, absl::Time now) const;
    void evaluate(const JournalRequest &request, absl::Time now, JournalActions &actions);
    [[nodiscard]] wire::RecordedResult resultOf(const std::string &key) const;
    void evaluateWaiting(absl::Time now, JournalActions &actions);
    void timeOutWaiting(absl::Time now, JournalActions &actions);
    void timeOutDeferred(absl::Time now, JournalActions &actions);
    void refuseWaiting(JournalActions &actions);
    [[nodiscard]] bool provenNeverStarted(const JournalDeferredReply &reply, std::uint64_t sequence) const;
    [[nodiscard]] bool grantValid(const JournalDeferredReply &reply, absl::Time now) const;

    // Takeover.
    void restartTakeover(JournalActions &actions);
    void readNextSnapshotPart(JournalActions &actions);
    void handleSnapshotRoot(const JournalReadResult &result, absl::Time now, JournalActions &actions);
    void handleSnapshotPart(const JournalReadResult &result, absl::Time now, JournalActions &actions);
    void handleChainObject(const JournalReadResult &result, absl::Time now, JournalActions &actions);

    // Appending.
    void startNextWrite(absl::Time now, JournalActions &actions);
    void sendAppend(absl::Time now, JournalActions &actions);
    void sendClosing(absl::Time now, JournalActions &actions);
    void sendProbe(absl::Time now, JournalActions &actions);
    void applyOutcome(JournalAppendOutcome outcome, const JournalReadResult &result, absl::Time now, JournalActions &actions);
    void handleVerification(const JournalReadResult &result, absl::Time now, JournalActions &actions);
    void handleProbe(const JournalReadResult &result, absl::Time now, JournalActions &actions);
    void handleDurable(absl::Time now, JournalActions &actions);
    void commitBatch(absl::Time now, JournalActions &actions);
    void endAbandoned(const JournalQueuedRecord &queued, absl::Time now);
    void loseShard(JournalActions &actions);
    void reset();

    // Compaction.
    void continueSnapshot(absl::Time now, JournalActions &actions);
    void handlePartWritten(const WriteResult &result, absl::Time now, JournalActions &actions);
    void handleRootRecheck(const JournalReadResult &result, absl::Time now, JournalActions &actions);
    void handleRootWritten(const WriteResult &result, absl::Time now, JournalActions &actions);
    void postponeSnapshot(absl::Time now, JournalActions &actions);

    // Store calls.
    void sendRead(Step next, const std::string &key, JournalActions &actions);
    void sendWrite(Step next, JournalWriteObject write, JournalActions &actions);
    void scheduleRetry(Step retry, absl::Time now);
    void retryCall(absl::Time now, JournalActions &actions);

    const JournalShardSettings settings;
    const JournalObjectKeys keys;
    JournalIndex index;
    JournalFences fences;
    JournalResultCache resultCache;
    JournalQueue queue;
    JournalDeferredReplies deferredReplies;
    JournalCompaction compaction;
    JournalReplay replay;
    JournalAppend append;
    JournalBackoff backoff;

    Step step = Step::Idle;
    bool held = false;
    bool releasing = false;
    std::uint64_t lastTicket = 0;
    std::uint64_t outstandingTicket = 0;
    absl::Time lastAppendAt = absl::InfinitePast();
    absl::Time probeSentAt = absl::InfinitePast();
    /** The latest time at which this host was certainly the holder. */
    absl::Time knownHolderAt = absl::InfinitePast();
    std::uint64_t nextObjectNumber = 1;
    /** The next part of a snapshot is written before the next append. */
    bool snapshotPartNext = false;
    std::size_t indexMemoryLimit;
    std::size_t nextSweepSlot = 0;
    std::deque<JournalRequest> waitingRequests;
};

} // namespace Bergamotramp
