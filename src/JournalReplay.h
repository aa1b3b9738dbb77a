#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "JournalCompaction.h"
#include "JournalFences.h"
#include "JournalIndex.h"
#include "JournalRecent.h"
#include "StoreTypes.h"
#include "bergamotramp.pb.h"

namespace Bergamotramp {

/** Fills a shard's index at a takeover: first from the snapshot, then from the objects of the chain in order. */
class JournalReplay
{
public:
    JournalReplay(JournalIndex &index, JournalFences &fences, JournalRecent &recent, JournalCompaction &compaction);

    /** Forgets everything, also in the index. */
    void start();
    /** Takes the first part of the snapshot, which may be absent; returns false when it can't be parsed. */
    bool takeRoot(const std::optional<StoredObject> &object);
    /** The next part of the snapshot to read; nothing when all are taken. */
    [[nodiscard]] std::optional<std::size_t> nextPart() const;
    /** Returns false when the part can't be parsed. */
    bool takePart(const std::string &bytes);
    /** Takes the object at @p number; returns false when it can't be parsed. */
    bool takeObject(std::uint64_t number, const std::string &bytes);
    /** Objects up to and including this number are covered by the snapshot. */
    [[nodiscard]] std::uint64_t rootNumber() const;

private:
    void takeEntries(const wire::JournalSnapshot &part);

    JournalIndex &index;
    JournalFences &fences;
    JournalRecent &recent;
    JournalCompaction &compaction;
    wire::JournalSnapshot root;
    std::uint32_t partsTaken = 0;
};

} // namespace Bergamotramp
