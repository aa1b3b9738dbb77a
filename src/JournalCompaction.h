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
#include "JournalKeys.h"
#include "JournalQueue.h"

namespace Bergamotramp {

/** When a snapshot is due and how large its parts are. */
struct JournalCompactionLimits {
    /** Objects after which a snapshot is written when it would not be much larger than they are. */
    std::size_t snapshotObjects = 0;
    /** Objects after which a snapshot is written in any case. */
    std::size_t longestChain = 0;
    std::size_t partBytes = 0;
    /** Keys in one part; bounds the time for which building one holds up requests. */
    std::size_t partKeys = 0;
};

/** A snapshot that is being written. The first part is the root, written last. */
struct JournalPendingSnapshot {
    /** The first part, written last. */
    wire::JournalSnapshot root;
    std::size_t nextSlot = 0;
    std::size_t endSlot = 0;
    std::size_t bytes = 0;
    std::vector<std::string> oldParts;
    /** Objects that neither the index nor a fence needed when the snapshot was started. */
    std::vector<std::uint64_t> obsolete;
    /** Openings that are kept; the fences know them from here on. */
    std::vector<std::uint64_t> fenced;
};

/**
 * Compaction of a shard's chain: when a snapshot is due, its parts, and the objects that it makes obsolete. Calls of the store are left to
 * the shard. A snapshot is built part by part while the chain goes on; keys that change meanwhile may appear in it with either state,
 * because the objects after the snapshot's number are replayed over it.
 */
class JournalCompaction
{
public:
    JournalCompaction(JournalCompactionLimits limits, JournalKeys keys, JournalIndex &index, const JournalQueue &queue, JournalFences &fences);

    void clearChain();
    /** Forgets the chain and the snapshot that is being written. */
    void clear();
    void addObject(std::uint64_t number, std::size_t bytes);
    void setSnapshotBytes(std::size_t bytes);
    void addSnapshotBytes(std::size_t bytes);

    /** Whether a snapshot up to object @p last is due. */
    [[nodiscard]] bool due(std::uint64_t last, absl::Time now) const;
    /** Whether a snapshot has been started and not ended. */
    [[nodiscard]] bool active() const;
    /** Starts a snapshot that covers the objects up to @p last. No append may be under way. */
    void start(std::uint64_t last, absl::Time now);
    /** Builds the next part to write; nothing when only the root is left. No append may be under way. */
    [[nodiscard]] std::optional<JournalWriteObject> nextPart(absl::Time now);
    /** The root to write over the one that stands. */
    [[nodiscard]] JournalWriteObject rootWrite(const std::optional<StoredObject> &standing, const wire::JournalSnapshot &standingRoot);
    /** Ends the snapshot as written; returns the objects that nothing refers to any more. */
    JournalDeleteObjects finish();
    /** Ends the snapshot as failed; the next one waits a while. */
    void postpone(absl::Time now);

private:
    struct ChainObject {
        std::uint64_t number = 0;
        std::size_t bytes = 0;
    };
    void findObsolete(std::uint64_t last);
    void fill(wire::JournalSnapshot &part, absl::Time now);
    void dropCovered(std::uint64_t last);

    const JournalCompactionLimits limits;
    const JournalKeys keys;
    JournalIndex &index;
    const JournalQueue &queue;
    JournalFences &fences;
    std::deque<ChainObject> chain;
    std::size_t chainBytes = 0;
    std::size_t snapshotBytes = 0;
    std::optional<JournalPendingSnapshot> pending;
    std::uint64_t lastNumber = 0;
    std::vector<std::string> partsWritten;
    absl::Time nextSnapshot = absl::InfinitePast();
};

} // namespace Bergamotramp
