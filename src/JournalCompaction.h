#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <absl/time/time.h>

#include "JournalActions.h"
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
};

/** An object of the chain after the snapshot. */
struct JournalChainObject {
    std::uint64_t number = 0;
    bool opening = false;
};

/** A snapshot that is being written. The first part is the root, written last. */
struct JournalPendingSnapshot {
    std::uint64_t number = 0;
    std::vector<std::string> parts;
    std::size_t written = 0;
    std::vector<std::string> oldKeys;
};

/**
 * Compaction of a shard's chain: what the chain holds, when a snapshot is due, its parts, and the objects that it makes obsolete.
 * Calls of the store are left to the shard.
 */
class JournalCompaction
{
public:
    JournalCompaction(JournalCompactionLimits limits, JournalKeys keys, JournalIndex &index, const JournalQueue &queue);

    void clearChain();
    /** Forgets the chain and the snapshot that is being written. */
    void clear();
    void addObject(JournalChainObject object, std::size_t bytes);
    void setSnapshotBytes(std::size_t bytes);
    void addSnapshotBytes(std::size_t bytes);

    /** Whether a snapshot up to object @p last is due. */
    [[nodiscard]] bool due(std::uint64_t last, absl::Time now) const;
    /** Starts a snapshot that covers the objects up to @p last. */
    void start(std::uint64_t last, absl::Time now);
    /** The next part to write; nothing when only the root is left. */
    [[nodiscard]] std::optional<JournalWriteObject> nextPart();
    void partWritten();
    /** The root to write over the one that stands. */
    [[nodiscard]] JournalWriteObject rootWrite(const std::optional<StoredObject> &standing, const wire::JournalSnapshot &standingRoot);
    /** Ends the snapshot as written; returns the objects that nothing refers to any more. */
    JournalDeleteObjects finish();
    /** Ends the snapshot as failed; the next one waits a while. */
    void postpone(absl::Time now);

private:
    [[nodiscard]] std::vector<std::string> buildParts(std::uint64_t number) const;

    const JournalCompactionLimits limits;
    const JournalKeys keys;
    JournalIndex &index;
    const JournalQueue &queue;
    std::vector<JournalChainObject> chain;
    std::size_t chainBytes = 0;
    std::size_t snapshotBytes = 0;
    std::optional<JournalPendingSnapshot> pending;
    std::uint64_t lastNumber = 0;
    std::vector<std::string> partsWritten;
    std::vector<std::string> expiredObjects;
    absl::Time nextSnapshot = absl::InfinitePast();
};

} // namespace Bergamotramp
