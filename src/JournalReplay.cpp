#include "JournalReplay.h"

namespace Bergamotramp {

JournalReplay::JournalReplay(JournalIndex &index, JournalFences &fences, JournalResultCache &resultCache, JournalCompaction &compaction)
    : index(index), fences(fences), resultCache(resultCache), compaction(compaction)
{
}

void JournalReplay::start()
{
    this->index.clear();
    this->fences.clear();
    this->resultCache.clear();
    this->compaction.clearChain();
    this->root.Clear();
    this->partsLoaded = 0;
}

bool JournalReplay::loadRoot(const std::optional<StoredObject> &object)
{
    if (object.has_value() && !this->root.ParseFromString(object->value)) {
        return false;
    }
    this->loadKeys(this->root);
    this->index.raiseExpiryHorizon(this->root.has_evicted_us() ? absl::FromUnixMicros(this->root.evicted_us()) : absl::InfinitePast());
    this->fences.load(this->root);
    this->partsLoaded = 0;
    this->compaction.setSnapshotBytes(object.has_value() ? object->value.size() : 0);
    return true;
}

std::optional<std::size_t> JournalReplay::nextPart() const
{
    return this->partsLoaded < this->root.parts() ? std::optional<std::size_t>(this->partsLoaded) : std::nullopt;
}

bool JournalReplay::loadPart(const std::string &bytes)
{
    wire::JournalSnapshot part;
    if (!part.ParseFromString(bytes)) {
        return false;
    }
    this->loadKeys(part);
    this->compaction.addSnapshotBytes(bytes.size());
    ++this->partsLoaded;
    return true;
}

bool JournalReplay::replayObject(std::uint64_t number, const std::string &bytes)
{
    wire::JournalObject object;
    if (!object.ParseFromString(bytes)) {
        return false;
    }
    for (const wire::JournalEntry &entry : object.entries()) {
        this->index.put(entry, number);
        if (entry.finished()) {
            this->resultCache.put(entry.key(), entry.result());
        }
    }
    if (object.opening()) {
        this->fences.noteOpening(number, object.writer());
    } else if (object.closing()) {
        this->fences.noteClosing(object.writer());
    }
    this->compaction.addObject(number, bytes.size());
    return true;
}

std::uint64_t JournalReplay::snapshotNumber() const
{
    return this->root.number();
}

void JournalReplay::loadKeys(const wire::JournalSnapshot &part)
{
    for (const wire::JournalKept &kept : part.kept()) {
        this->index.put(JournalKeyState::fromKept(kept));
    }
}

} // namespace Bergamotramp
