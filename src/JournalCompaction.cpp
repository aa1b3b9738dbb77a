#include "JournalCompaction.h"

#include <iterator>
#include <unordered_map>
#include <utility>

namespace Bergamotramp {

namespace {

constexpr absl::Duration retryPause = absl::Seconds(5);

} // namespace

JournalCompaction::JournalCompaction(JournalCompactionLimits limits, JournalKeys keys, JournalIndex &index, const JournalQueue &queue)
    : limits(limits), keys(std::move(keys)), index(index), queue(queue)
{
}

void JournalCompaction::clearChain()
{
    this->chain.clear();
    this->chainBytes = 0;
}

void JournalCompaction::clear()
{
    this->clearChain();
    this->pending.reset();
    this->partsWritten.clear();
    this->expiredObjects.clear();
}

void JournalCompaction::addObject(JournalChainObject object, std::size_t bytes)
{
    this->chain.push_back(object);
    this->chainBytes += bytes;
}

void JournalCompaction::setSnapshotBytes(std::size_t bytes)
{
    this->snapshotBytes = bytes;
}

void JournalCompaction::addSnapshotBytes(std::size_t bytes)
{
    this->snapshotBytes += bytes;
}

// A number is used for one snapshot only: the parts of a failed one may still arrive at the store and must not mix with others.
bool JournalCompaction::due(std::uint64_t last, absl::Time now) const
{
    if (last <= this->lastNumber) {
        return false;
    }
    const bool worthIt = this->chain.size() >= this->limits.snapshotObjects && this->chainBytes * 4 >= this->snapshotBytes;
    return now >= this->nextSnapshot && (worthIt || this->chain.size() >= this->limits.longestChain);
}

void JournalCompaction::start(std::uint64_t last, absl::Time now)
{
    std::vector<std::string> objects = this->index.expire(now);
    this->expiredObjects.insert(this->expiredObjects.end(), std::make_move_iterator(objects.begin()), std::make_move_iterator(objects.end()));
    this->pending.emplace();
    this->pending->number = last;
    this->lastNumber = last;
    this->pending->parts = this->buildParts(last);
}

// Records that wait for the store are in the index already; the snapshot holds what stood before them.
std::vector<std::string> JournalCompaction::buildParts(std::uint64_t number) const
{
    std::unordered_map<std::string, const std::optional<wire::JournalEntry> *> before;
    for (const JournalQueued &queued : this->queue.waiting()) {
        before.emplace(queued.record.key(), &queued.before);
    }
    std::vector<wire::JournalSnapshot> parts(1);
    std::size_t bytes = 0;
    const auto add = [&](const wire::JournalEntry &entry) {
        const std::size_t size = entry.ByteSizeLong();
        if (bytes > 0 && bytes + size > this->limits.partBytes) {
            parts.emplace_back();
            bytes = 0;
        }
        bytes += size;
        *parts.back().add_entries() = entry;
    };
    this->index.forEach([&](const wire::JournalEntry &entry) {
        const auto overlaid = before.find(entry.key());
        if (overlaid == before.end()) {
            add(entry);
        } else if (overlaid->second->has_value()) {
            add(**overlaid->second);
        }
    });
    parts.front().set_parts(static_cast<std::uint32_t>(parts.size() - 1));
    std::vector<std::string> texts;
    for (wire::JournalSnapshot &part : parts) {
        part.set_number(number);
        texts.push_back(part.SerializeAsString());
    }
    return texts;
}

std::optional<JournalWriteObject> JournalCompaction::nextPart()
{
    if (this->pending->written + 1 == this->pending->parts.size()) {
        return std::nullopt;
    }
    const std::string key = this->keys.part(this->pending->number, this->pending->written);
    this->partsWritten.push_back(key);
    return JournalWriteObject{0, key, this->pending->parts[this->pending->written + 1], Precondition::none()};
}

void JournalCompaction::partWritten()
{
    ++this->pending->written;
}

JournalWriteObject JournalCompaction::rootWrite(const std::optional<StoredObject> &standing, const wire::JournalSnapshot &standingRoot)
{
    for (std::uint32_t part = 0; part < standingRoot.parts(); ++part) {
        this->pending->oldKeys.push_back(this->keys.part(standingRoot.number(), part));
    }
    const Precondition precondition = standing.has_value() ? Precondition::at(standing->version) : Precondition::absent();
    return {0, this->keys.root(), this->pending->parts.front(), precondition};
}

JournalDeleteObjects JournalCompaction::finish()
{
    const JournalPendingSnapshot done = std::move(*this->pending);
    this->pending.reset();
    JournalDeleteObjects obsolete{std::exchange(this->expiredObjects, {})};
    for (const JournalChainObject &object : std::exchange(this->chain, {})) {
        if (!object.opening) {
            obsolete.keys.push_back(this->keys.object(object.number));
        }
    }
    std::vector<std::string> partKeys = std::exchange(this->partsWritten, {});
    partKeys.insert(partKeys.end(), done.oldKeys.begin(), done.oldKeys.end());
    for (const std::string &key : partKeys) {
        bool current = false;
        for (std::size_t part = 0; part + 1 < done.parts.size(); ++part) {
            current = current || key == this->keys.part(done.number, part);
        }
        if (!current) {
            obsolete.keys.push_back(key);
        }
    }
    this->snapshotBytes = 0;
    for (const std::string &part : done.parts) {
        this->snapshotBytes += part.size();
    }
    this->chainBytes = 0;
    return obsolete;
}

// The chain alone is complete, so a snapshot may fail; its parts are removed with the next one.
void JournalCompaction::postpone(absl::Time now)
{
    this->pending.reset();
    this->nextSnapshot = now + retryPause;
}

} // namespace Bergamotramp
