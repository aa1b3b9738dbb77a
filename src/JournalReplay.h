#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "JournalCompaction.h"
#include "JournalFences.h"
#include "JournalIndex.h"
#include "JournalResultCache.h"
#include "StoreTypes.h"
#include "bergamotramp.pb.h"

namespace Bergamotramp {

/** Loads a shard's index at a takeover: first from the snapshot, then from the objects of the chain in order. */
class JournalReplay
{
public:
    JournalReplay(JournalIndex &index, JournalFences &fences, JournalResultCache &resultCache, JournalCompaction &compaction);

    /** Starts a new replay. Clears the index and everything else that a replay loads. */
    void start();
    /** Loads the first part of the snapshot, which may be absent. Returns false when it can't be parsed. */
    bool loadRoot(const std::optional<StoredObject> &object);
    /** The next part of the snapshot to read; nothing when all are loaded. */
    [[nodiscard]] std::optional<std::size_t> nextPart() const;
    /** Returns false when the part can't be parsed. */
    bool loadPart(const std::string &bytes);
    /** Replays the object at @p number. Returns false when it can't be parsed. */
    bool replayObject(std::uint64_t number, const std::string &bytes);
    /** Objects up to and including this number are covered by the snapshot. */
    [[nodiscard]] std::uint64_t snapshotNumber() const;

private:
    void loadKeys(const wire::JournalSnapshot &part);

    JournalIndex &index;
    JournalFences &fences;
    JournalResultCache &resultCache;
    JournalCompaction &compaction;
    wire::JournalSnapshot root;
    std::uint32_t partsLoaded = 0;
};

} // namespace Bergamotramp
