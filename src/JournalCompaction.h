#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include <absl/time/time.h>

#include "JournalActions.h"
#include "JournalFences.h"
#include "JournalIndex.h"
#include "JournalObjectKeys.h"
#include "JournalQueue.h"

namespace Bergamotramp {

/** Limits that decide when a snapshot is due and how large its parts are. */
struct JournalCompactionLimits {
    /** A snapshot is written when this many chain objects follow the last snapshot and take at least a quarter of its size. */
    std::size_t snapshotAfterObjects = 0;
    /** A snapshot is written in any case when this many chain objects follow the last snapshot. */
    std::size_t maxChainObjects = 0;
    std::size_t maxPartBytes = 0;
    /** Maximum number of keys in one part. Bounds the time for which building a part delays requests. */
    std::size_t maxPartKeys = 0;
};

/** A snapshot that is being written. The slots of the index from nextSlot up to endSlot are not in a part yet. */
struct JournalPendingSnapshot {
    /** The first part, which is written last. */
    wire::JournalSnapshot root;
    std::size_t nextSlot = 0;
    std::size_t endSlot = 0;
    std::size_t bytes = 0;
    std::vector<std::string> oldParts;
    /** Objects that neither the index nor a fence needed when the snapshot was started. They are deleted once it is written. */
    std::vector<std::uint64_t> obsoleteObjects;
    /** Openings that are kept as fences. Once the snapshot is written, only JournalFences tracks them. */
    std::vector<std::uint64_t> keptFences;
};

/**
 * Compaction of a shard's chain. Decides when a snapshot is due, builds its parts and finds the objects that it makes obsolete. The shard
 * makes the store calls. A snapshot is built part by part while appends continue. A key that changes in the meantime may be in the snapshot
 * with its old or its new state, because the objects after the snapshot's number are replayed over it.
 */
class JournalCompaction
{
public:
    JournalCompaction(JournalCompactionLimits limits, JournalObjectKeys keys, JournalIndex &index, const JournalQueue &queue, JournalFences &fences);

    void clearChain();
    /** Discards the tracked chain and the snapshot that is being written. */
    void clear();
    void addObject(std::uint64_t number, std::size_t bytes);
    void setSnapshotBytes(std::size_t bytes);
    void addSnapshotBytes(std::size_t bytes);

    /** Whether a snapshot that covers the objects up to @p last is due. */
    [[nodiscard]] bool due(std::uint64_t last, absl::Time now) const;
    /** Whether a snapshot is being written. */
    [[nodiscard]] bool active() const;
    /** Starts a snapshot that covers the objects up to @p last. No append may be outstanding. */
    void start(std::uint64_t last, absl::Time now);
    /** Builds the next part to write. Returns nothing when only the root is left. No append may be outstanding. */
    [[nodiscard]] std::optional<JournalWriteObject> nextPart(absl::Time now);
    /** Builds the write of the root that replaces @p storedRoot, whose contents are @p parsedRoot. */
    [[nodiscard]] JournalWriteObject makeRootWrite(const std::optional<StoredObject> &storedRoot, const wire::JournalSnapshot &parsedRoot);
    /** Ends the snapshot as written. Returns the objects that nothing refers to any more. */
    JournalDeleteObjects finish();
    /** Ends the snapshot as failed and delays the next one. */
    void postpone(absl::Time now);

private:
    struct ChainObject {
        std::uint64_t number = 0;
        std::size_t bytes = 0;
    };
    void findObsolete(std::uint64_t last);
    void fillPart(wire::JournalSnapshot &part, absl::Time now);
    void dropCovered(std::uint64_t last);

    const JournalCompactionLimits limits;
    const JournalObjectKeys keys;
    JournalIndex &index;
    const JournalQueue &queue;
    JournalFences &fences;
    std::deque<ChainObject> chain;
    std::size_t chainBytes = 0;
    std::size_t snapshotBytes = 0;
    std::optional<JournalPendingSnapshot> pending;
    std::uint64_t lastSnapshotNumber = 0;
    std::vector<std::string> partsWritten;
    absl::Time nextSnapshotAt = absl::InfinitePast();
};

} // namespace Bergamotramp
