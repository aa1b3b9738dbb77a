#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <absl/time/time.h>

#include "JournalIndex.h"
#include "StoreTypes.h"
#include "bergamotramp.pb.h"

namespace Bergamotramp {

/** Identity and limits of a shard's holder. */
struct JournalShardSettings {
    std::uint32_t shard = 0;
    std::string host;
    std::uint64_t incarnation = 0;
    /** How long finished and expired keys are kept. */
    absl::Duration retention = absl::Hours(24);
    /** The longest wait of a request for the store. */
    absl::Duration requestWait = absl::Seconds(2);
    absl::Duration firstBackoff = absl::Milliseconds(50);
    absl::Duration longestBackoff = absl::Seconds(1);
    /** The shortest time between two appends; records that arrive meanwhile share the next object. */
    absl::Duration appendInterval = absl::Milliseconds(40);
    /** Records in one object of the store; values are limited to 1 MB. */
    std::size_t objectBytes = 900'000;
    /** Records that may wait for the store. */
    std::size_t queueBytes = 64'000'000;
    /** Objects after which a snapshot is written when it would not be much larger than they are. */
    std::size_t snapshotObjects = 128;
    /** Objects after which a snapshot is written in any case; bounds the replay of a takeover. */
    std::size_t longestChain = 1024;
};

/** Read an object of the store and report it with objectRead(). */
struct JournalReadObject {
    std::uint64_t ticket = 0;
    std::string key;

    bool operator==(const JournalReadObject &) const = default;
};

/** Write an object of the store and report the outcome with writeSettled(). */
struct JournalWriteObject {
    std::uint64_t ticket = 0;
    std::string key;
    std::string value;
    Precondition precondition;

    bool operator==(const JournalWriteObject &) const = default;
};

/** Remove objects that nothing refers to any more; nothing is reported back. */
struct JournalDeleteObjects {
    std::vector<std::string> keys;

    bool operator==(const JournalDeleteObjects &) const = default;
};

using JournalAnswer = std::variant<wire::JournalBegun, wire::JournalFinished, wire::JournalRecord>;

/** Answer a request that was given with the same number. */
struct JournalReply {
    std::uint64_t request = 0;
    JournalAnswer answer;
};

using JournalAction = std::variant<JournalReadObject, JournalWriteObject, JournalDeleteObjects, JournalReply>;
using JournalActions = std::vector<JournalAction>;

/** What a read of the store found. */
struct JournalReadResult {
    /** False when the store did not answer. */
    bool answered = false;
    std::optional<StoredObject> object;

    bool operator==(const JournalReadResult &) const = default;
};

/** A record that is not durable yet, and what stood under its key before. */
struct JournalQueued {
    std::uint64_t sequence = 0;
    wire::JournalEntry record;
    std::optional<wire::JournalEntry> before;
    bool intent = false;
    bool abandoned = false;
};

/** The next object of the chain. */
struct JournalPendingAppend {
    std::string bytes;
    std::uint64_t writeNumber = 0;
    /** When the write was sent first. The object did not exist before, whichever attempt created it. */
    absl::Time firstSent;
    bool opening = false;
    /** An attempt got no answer and may still take effect. */
    bool inDoubt = false;
    /** The write was repeated while in doubt. */
    bool repeated = false;
    std::vector<JournalQueued> records;
};

/** A snapshot that is being written. */
struct JournalPendingSnapshot {
    std::uint64_t number = 0;
    std::vector<std::string> parts;
    std::size_t written = 0;
    std::uint64_t rootVersion = 0;
    std::vector<std::string> oldKeys;
};

/**
 * One shard of the request journal at one host: takes the shard over, keeps its index and appends records to its chain of objects.
 * Not thread-safe. At most one read or write of the store is outstanding.
 *
 * The chain: objects are created only if absent at the next number. The first object of each holder is an opening without records and is
 * never deleted, so a former holder's next append always meets it, however long the holder was paused.
 */
class JournalShard
{
public:
    explicit JournalShard(JournalShardSettings settings);

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

    /** Whether the shard is held or being taken over. */
    [[nodiscard]] bool active() const;
    [[nodiscard]] bool loaded() const;
    [[nodiscard]] std::size_t entryCount() const;
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
    };
    /** An answer that may be given once records up to a sequence number are durable. */
    struct Deferred {
        std::uint64_t request = 0;
        JournalAnswer answer;
        std::string key;
        absl::Time arrived;
        /** The request caused the record with its sequence number. */
        bool owner = false;
    };
    struct Waiting {
        std::uint64_t request = 0;
        std::variant<JournalIntent, JournalCompletion, std::string> event;
        absl::Time arrived;
    };
    struct ChainObject {
        std::uint64_t number = 0;
        bool opening = false;
    };

    // Requests.
    void accept(Waiting waiting, absl::Time now, JournalActions &actions);
    void evaluate(const Waiting &waiting, absl::Time now, JournalActions &actions);
    void settle(const Waiting &waiting, const std::string &key, JournalDecision decision, absl::Time now, JournalActions &actions);
    std::uint64_t enqueue(wire::JournalEntry record, bool intent);
    void expireRequests(absl::Time now, JournalActions &actions);
    void expireWaiting(absl::Time now, JournalActions &actions);
    void abandon(std::uint64_t sequence, JournalActions &actions);
    void rollBack(std::size_t position, JournalActions &actions);
    [[nodiscard]] std::uint64_t lastUndurable(const std::string &key) const;
    bool neverStarted(const Deferred &deferred, std::uint64_t sequence, absl::Time now) const;

    // Takeover.
    void rootRead(const JournalReadResult &result, absl::Time now, JournalActions &actions);
    void partRead(const JournalReadResult &result, absl::Time now, JournalActions &actions);
    void chainRead(const JournalReadResult &result, absl::Time now, JournalActions &actions);
    bool replay(const std::string &bytes);
    void takeEntries(const wire::JournalSnapshot &snapshot);
    void open(absl::Time now, JournalActions &actions);
    void reload(JournalActions &actions);
    void serveWaiting(absl::Time now, JournalActions &actions);

    // Appending.
    void startNext(absl::Time now, JournalActions &actions);
    void buildAppend(absl::Time now);
    void sendAppend(absl::Time now, JournalActions &actions);
    void sendProbe(absl::Time now, JournalActions &actions);
    void appendSettled(const WriteResult &result, absl::Time now, JournalActions &actions);
    void readBack(const JournalReadResult &result, absl::Time now, JournalActions &actions);
    void verified(const JournalReadResult &result, absl::Time now, JournalActions &actions);
    void probed(const JournalReadResult &result, absl::Time now, JournalActions &actions);
    void applied(absl::Time now, JournalActions &actions);
    void commit(const std::vector<JournalQueued> &records, absl::Time now, JournalActions &actions);
    void releaseAnswers(absl::Time now, JournalActions &actions);
    void returnToQueue();
    void dropAbandoned(const JournalQueued &queued, absl::Time now);
    void lose(JournalActions &actions);
    void reset();

    // Compaction.
    [[nodiscard]] bool snapshotDue(absl::Time now) const;
    void startSnapshot(absl::Time now, JournalActions &actions);
    [[nodiscard]] std::vector<std::string> snapshotParts() const;
    void sendPart(JournalActions &actions);
    void partSettled(const WriteResult &result, absl::Time now, JournalActions &actions);
    void rootRechecked(const JournalReadResult &result, absl::Time now, JournalActions &actions);
    void rootSettled(const WriteResult &result, absl::Time now, JournalActions &actions);
    void postponeSnapshot(absl::Time now, JournalActions &actions);

    // Calls of the store.
    void sendRead(Step next, const std::string &key, JournalActions &actions);
    void sendWrite(Step next, const std::string &key, const std::string &value, Precondition precondition, JournalActions &actions);
    void backOff(Step retry, absl::Time now);
    void resume(JournalActions &actions, absl::Time now);
    [[nodiscard]] std::string objectKey(std::uint64_t number) const;
    [[nodiscard]] std::string rootKey() const;
    [[nodiscard]] std::string partKey(std::uint64_t number, std::size_t part) const;

    JournalShardSettings settings;
    JournalIndex index;
    Step step = Step::Idle;
    bool held = false;
    bool releasing = false;
    std::uint64_t lastTicket = 0;
    std::uint64_t outstanding = 0;

    absl::Time retryAt = absl::InfiniteFuture();
    absl::Duration backoff;
    absl::Time lastAppend = absl::InfinitePast();
    absl::Time probeSent = absl::InfinitePast();
    /** This host was certainly the holder at this time. */
    absl::Time holderAt = absl::InfinitePast();

    std::uint64_t number = 1;
    std::uint64_t lastWriteNumber = 0;
    std::uint64_t lastSequence = 0;
    std::uint64_t committedSequence = 0;
    std::deque<JournalQueued> queue;
    std::size_t queuedBytes = 0;
    /** Sequence number of the last record of each key that is not durable yet. */
    absl::flat_hash_map<std::string, std::uint64_t> undurable;
    std::optional<JournalPendingAppend> append;
    std::multimap<std::uint64_t, Deferred> deferred;
    std::deque<Waiting> waiting;

    wire::JournalSnapshot loadedRoot;
    std::uint32_t partsRead = 0;
    std::vector<ChainObject> chain;
    std::size_t chainBytes = 0;
    std::size_t snapshotBytes = 0;
    std::optional<JournalPendingSnapshot> snapshot;
    std::uint64_t lastSnapshotNumber = 0;
    std::vector<std::string> partsWritten;
    std::vector<std::string> expiredObjects;
    absl::Time nextSnapshot = absl::InfinitePast();
};

} // namespace Bergamotramp
