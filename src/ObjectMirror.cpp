#include "ObjectMirror.h"

namespace Bergamotramp {

void ObjectMirror::apply(const ListReply &list)
{
    if (list.result != StoreResult::Done || list.revision < this->newestRevision) {
        return;
    }
    this->objects.clear();
    for (const ObjectRecord &object : list.objects) {
        this->objects[object.name] = object;
    }
    this->changes.clear();
    this->historyStart = list.revision;
    this->newestRevision = list.revision;
}

void ObjectMirror::apply(const WatchReply &reply)
{
    if (reply.result != StoreResult::Done || !this->isInitialized() || reply.revision <= this->newestRevision) {
        return;
    }
    for (const ObjectChange &change : reply.changes) {
        if (change.removed) {
            this->objects.erase(change.object.name);
        } else {
            this->objects[change.object.name] = change.object;
        }
        this->changes.push_back({.revision = reply.revision, .change = change});
    }
    this->newestRevision = reply.revision;
    while (this->changes.size() > maxChanges) {
        this->historyStart = this->changes.front().revision;
        this->changes.pop_front();
    }
}

bool ObjectMirror::isInitialized() const
{
    return this->newestRevision > 0;
}

std::uint64_t ObjectMirror::revision() const
{
    return this->newestRevision;
}

ListReply ObjectMirror::list(std::uint64_t revision) const
{
    ListReply reply;
    if (!this->isInitialized() || this->newestRevision < revision) {
        return reply;
    }
    reply.result = StoreResult::Done;
    reply.revision = this->newestRevision;
    for (const auto &[name, object] : this->objects) {
        reply.objects.push_back(object);
    }
    return reply;
}

WatchReply ObjectMirror::changesSince(std::uint64_t revision) const
{
    WatchReply reply{.result = StoreResult::Done, .changes = {}, .revision = std::max(revision, this->newestRevision)};
    if (revision < this->historyStart || !this->isInitialized()) {
        reply.result = StoreResult::HistoryExpired;
        return reply;
    }
    for (const Change &entry : this->changes) {
        if (entry.revision > revision) {
            reply.changes.push_back(entry.change);
        }
    }
    return reply;
}

} // namespace Bergamotramp
