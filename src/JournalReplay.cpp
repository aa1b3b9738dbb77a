#include "JournalReplay.h"

namespace Bergamotramp {

JournalReplay::JournalReplay(JournalIndex &index, JournalFences &fences, JournalRecent &recent, JournalCompaction &compaction)
    : index(index), fences(fences), recent(recent), compaction(compaction)
{
}

void JournalReplay::start()
{
    this->index.clear();
    this->fences.clear();
    this->recent.clear();
    this->compaction.clearChain();
    this->root.Clear();
    this->partsTaken = 0;
}

bool JournalReplay::takeRoot(const std::optional<StoredObject> &object)
{
    if (object.has_value() && !this->root.ParseFromString(object->value)) {
        return false;
    }
    this->takeEntries(this->root);
    this->index.raiseHorizon(this->root.has_evicted_us() ? absl::FromUnixMicros(this->root.evicted_us()) : absl::InfinitePast());
    this->fences.load(this->root);
    this->partsTaken = 0;
    this->compaction.setSnapshotBytes(object.has_value() ? object->value.size() : 0);
    return true;
}

std::optional<std::size_t> JournalReplay::nextPart() const
{
    return this->partsTaken < this->root.parts() ? std::optional<std::size_t>(this->partsTaken) : std::nullopt;
}

bool JournalReplay::takePart(const std::string &bytes)
{
    wire::JournalSnapshot part;
    if (!part.ParseFromString(bytes)) {
        return false;
    }
    this->takeEntries(part);
    this->compaction.addSnapshotBytes(bytes.size());
    ++this->partsTaken;
    return true;
}

bool JournalReplay::takeObject(std::uint64_t number, const std::string &bytes)
{
    wire::JournalObject object;
    if (!object.ParseFromString(bytes)) {
        return false;
    }
    for (const wire::JournalEntry &entry : object.entries()) {
        this->index.put(entry, number);
        if (entry.finished()) {
            this->recent.put(entry.key(), entry.result());
        }
    }
    if (object.opening()) {
        this->fences.opened(number, object.writer());
    } else if (object.closing()) {
        this->fences.closed(object.writer());
    }
    this->compaction.addObject(number, bytes.size());
    return true;
}

std::uint64_t JournalReplay::rootNumber() const
{
    return this->root.number();
}

void JournalReplay::takeEntries(const wire::JournalSnapshot &part)
{
    for (const wire::JournalKept &kept : part.kept()) {
        this->index.put(JournalKeyState::fromKept(kept));
    }
}

} // namespace Bergamotramp
