#include "JournalCompaction.h"

#include <algorithm>
#include <utility>

#include <absl/container/flat_hash_map.h>

namespace Bergamotramp {

namespace {

constexpr absl::Duration retryPause = absl::Seconds(5);
/** Free slots are cheap to pass but not free. */
constexpr std::size_t slotsPerKey = 4;

} // namespace

JournalCompaction::JournalCompaction(JournalCompactionLimits limits, JournalKeys keys, JournalIndex &index, const JournalQueue &queue, JournalFences &fences)
    : limits(limits), keys(std::move(keys)), index(index), queue(queue), fences(fences)
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
}

void JournalCompaction::addObject(std::uint64_t number, std::size_t bytes)
{
    this->chain.push_back({number, bytes});
    this->chainBytes += bytes;
    this->index.chainObjects().add(number);
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
    if (this->active() || last <= this->lastNumber) {
        return false;
    }
    const bool worthIt = this->chain.size() >= this->limits.snapshotObjects && this->chainBytes * 4 >= this->snapshotBytes;
    return now >= this->nextSnapshot && (worthIt || this->chain.size() >= this->limits.longestChain);
}

bool JournalCompaction::active() const
{
    return this->pending.has_value();
}

// The horizon is that of the start: an object is obsolete only when a loader of this snapshot finds nothing in it that is kept.
void JournalCompaction::start(std::uint64_t last, absl::Time now)
{
    JournalPendingSnapshot &started = this->pending.emplace();
    started.root.set_number(last);
    started.root.set_evicted_us(absl::ToUnixMicros(this->index.horizon(now)));
    this->fences.save(started.root);
    started.endSlot = this->index.slotCount();
    this->findObsolete(last);
    this->lastNumber = last;
}

// A fence may outlive all objects around it, so that it is not left to the dense table of objects.
void JournalCompaction::findObsolete(std::uint64_t last)
{
    const JournalObjects &objects = this->index.chainObjects();
    for (const std::uint64_t number : objects.unreferenced(last)) {
        (this->fences.needed(number) ? this->pending->fenced : this->pending->obsolete).push_back(number);
    }
    for (const std::uint64_t number : this->fences.dropped()) {
        if (!objects.contains(number)) {
            this->pending->obsolete.push_back(number);
        }
    }
}

// Records that wait for the store are in the index already; the snapshot holds what stood before them.
void JournalCompaction::fill(wire::JournalSnapshot &part, absl::Time now)
{
    absl::flat_hash_map<absl::uint128, const std::optional<JournalKeyState> *> before;
    for (const JournalQueued &queued : this->queue.waiting()) {
        before.emplace(journalDigest(queued.record.key()), &queued.before);
    }
    std::size_t bytes = 0;
    std::size_t &slot = this->pending->nextSlot;
    const std::size_t end = std::min(this->pending->endSlot, slot + this->limits.partKeys * slotsPerKey);
    this->index.sweep(slot, end - slot, now);
    for (; slot < end && static_cast<std::size_t>(part.kept_size()) < this->limits.partKeys; ++slot) {
        const JournalKeyState *state = this->index.at(slot);
        const auto overlaid = state == nullptr ? before.end() : before.find(state->digest);
        if (overlaid != before.end()) {
            state = overlaid->second->has_value() ? &**overlaid->second : nullptr;
        }
        if (state == nullptr || state->endOf() <= this->index.horizon(now)) {
            continue;
        }
        wire::JournalKept kept = state->toKept();
        bytes += kept.ByteSizeLong();
        if (part.kept_size() > 0 && bytes > this->limits.partBytes) {
            break;
        }
        *part.add_kept() = std::move(kept);
    }
}

std::optional<JournalWriteObject> JournalCompaction::nextPart(absl::Time now)
{
    wire::JournalSnapshot part;
    this->fill(part, now);
    if (this->pending->nextSlot >= this->pending->endSlot) {
        this->pending->root.mutable_kept()->Swap(part.mutable_kept());
        return std::nullopt;
    }
    const std::uint64_t number = this->pending->root.number();
    part.set_number(number);
    const std::string key = this->keys.part(number, this->pending->root.parts());
    this->pending->root.set_parts(this->pending->root.parts() + 1);
    this->partsWritten.push_back(key);
    std::string text = part.SerializeAsString();
    this->pending->bytes += text.size();
    return JournalWriteObject{0, key, std::move(text), Precondition::none()};
}

JournalWriteObject JournalCompaction::rootWrite(const std::optional<StoredObject> &standing, const wire::JournalSnapshot &standingRoot)
{
    for (std::uint32_t part = 0; part < standingRoot.parts(); ++part) {
        this->pending->oldParts.push_back(this->keys.part(standingRoot.number(), part));
    }
    std::string text = this->pending->root.SerializeAsString();
    this->pending->bytes += text.size();
    const Precondition precondition = standing.has_value() ? Precondition::at(standing->version) : Precondition::absent();
    return {0, this->keys.root(), std::move(text), precondition};
}

JournalDeleteObjects JournalCompaction::finish()
{
    const JournalPendingSnapshot done = std::move(*this->pending);
    this->pending.reset();
    JournalDeleteObjects deletions;
    JournalObjects &objects = this->index.chainObjects();
    for (const std::uint64_t number : done.fenced) {
        objects.remove(number);
    }
    for (const std::uint64_t number : done.obsolete) {
        (objects.hasBodies(number) ? deletions.withBodies : deletions.keys).push_back(this->keys.object(number));
        objects.remove(number);
        this->fences.forget(number);
    }
    std::vector<std::string> partKeys = std::exchange(this->partsWritten, {});
    partKeys.insert(partKeys.end(), done.oldParts.begin(), done.oldParts.end());
    for (std::string &key : partKeys) {
        bool current = false;
        for (std::uint32_t part = 0; part < done.root.parts(); ++part) {
            current = current || key == this->keys.part(done.root.number(), part);
        }
        if (!current) {
            deletions.keys.push_back(std::move(key));
        }
    }
    this->snapshotBytes = done.bytes;
    this->dropCovered(done.root.number());
    return deletions;
}

void JournalCompaction::dropCovered(std::uint64_t last)
{
    while (!this->chain.empty() && this->chain.front().number <= last) {
        this->chainBytes -= this->chain.front().bytes;
        this->chain.pop_front();
    }
}

// The chain alone is complete, so a snapshot may fail; its parts are removed with the next one.
void JournalCompaction::postpone(absl::Time now)
{
    this->pending.reset();
    this->nextSnapshot = now + retryPause;
}

} // namespace Bergamotramp
