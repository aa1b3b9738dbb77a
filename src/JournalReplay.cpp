#include "JournalReplay.h"

namespace Bergamotramp {

JournalReplay::JournalReplay(JournalIndex &index, JournalCompaction &compaction) : index(index), compaction(compaction)
{
}

void JournalReplay::start()
{
    this->index.clear();
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
        this->index.put(entry);
    }
    this->compaction.addObject({number, object.opening()}, bytes.size());
    return true;
}

std::uint64_t JournalReplay::rootNumber() const
{
    return this->root.number();
}

void JournalReplay::takeEntries(const wire::JournalSnapshot &part)
{
    for (const wire::JournalEntry &entry : part.entries()) {
        this->index.put(entry);
    }
}

} // namespace Bergamotramp
