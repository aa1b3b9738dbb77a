#include "JournalCompaction.h"

#include <algorithm>
#include <utility>

#include <absl/container/flat_hash_map.h>

namespace Bergamotramp {

namespace {

constexpr absl::Duration retryDelay = absl::Seconds(5);
/** Slots that a part may scan for each key of its limit. Skipping a free slot is cheap, but many of them would delay requests. */
constexpr std::size_t maxSlotsPerKey = 4;

} // namespace

JournalCompaction::JournalCompaction(
    JournalCompactionLimits limits, JournalObjectKeys keys, JournalIndex &index, const JournalQueue &queue, JournalFences &fences)
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
    this->index.objectReferences().track(number);
}

void JournalCompaction::setSnapshotBytes(std::size_t bytes)
{
    this->snapshotBytes = bytes;
}

void JournalCompaction::addSnapshotBytes(std::size_t bytes)
{
    this->snapshotBytes += bytes;
}

// Each number is used for one snapshot only. The parts of a failed one may still arrive at the store and must not mix with those of another.
bool JournalCompaction::due(std::uint64_t last, absl::Time now) const
{
    if (this->active() || last <= this->lastSnapshotNumber) {
        return false;
    }
    const bool chainWorthCompacting = this->chain.size() >= this->limits.snapshotAfterObjects && this->chainBytes * 4 >= this->snapshotBytes;
    return now >= this->nextSnapshotAt && (chainWorthCompacting || this->chain.size() >= this->limits.maxChainObjects);
}

bool JournalCompaction::active() const
{
    return this->pending.has_value();
}

// The expiry horizon is taken at the start. An object is obsolete only if it holds nothing that a host which loads this snapshot has to keep.
void JournalCompaction::start(std::uint64_t last, absl::Time now)
{
    JournalPendingSnapshot &started = this->pending.emplace();
    started.root.set_number(last);
    started.root.set_evicted_us(absl::ToUnixMicros(this->index.expiryHorizon(now)));
    this->fences.save(started.root);
    started.endSlot = this->index.slotCount();
    this->findObsolete(last);
    this->lastSnapshotNumber = last;
}

// A fence may be kept much longer than the objects around it. JournalFences tracks it, so that the dense table of object counters stays small.
void JournalCompaction::findObsolete(std::uint64_t last)
{
    const JournalObjectReferences &references = this->index.objectReferences();
    for (const std::uint64_t number : references.unreferenced(last)) {
        (this->fences.isNeeded(number) ? this->pending->keptFences : this->pending->obsoleteObjects).push_back(number);
    }
    for (const std::uint64_t number : this->fences.obsolete()) {
        if (!references.isTracked(number)) {
            this->pending->obsoleteObjects.push_back(number);
        }
    }
}

// The index already contains the queued records, which may never become durable. The snapshot holds the state of their keys before them.
void JournalCompaction::fillPart(wire::JournalSnapshot &part, absl::Time now)
{
    absl::flat_hash_map<absl::uint128, const std::optional<JournalKeyState> *> previousStates;
    for (const JournalQueuedRecord &queued : this->queue.waiting()) {
        previousStates.emplace(journalKeyDigest(queued.record.key()), &queued.previousState);
    }
    std::size_t bytes = 0;
    std::size_t &slot = this->pending->nextSlot;
    const std::size_t end = std::min(this->pending->endSlot, slot + this->limits.maxPartKeys * maxSlotsPerKey);
    this->index.sweep(slot, end - slot, now);
    for (; slot < end && static_cast<std::size_t>(part.kept_size()) < this->limits.maxPartKeys; ++slot) {
        const JournalKeyState *state = this->index.at(slot);
        const auto previous = state == nullptr ? previousStates.end() : previousStates.find(state->digest);
        if (previous != previousStates.end()) {
            state = previous->second->has_value() ? &**previous->second : nullptr;
        }
        if (state == nullptr || state->endTime() <= this->index.expiryHorizon(now)) {
            continue;
        }
        wire::JournalKept kept = state->toKept();
        bytes += kept.ByteSizeLong();
        if (part.kept_size() > 0 && bytes > this->limits.maxPartBytes) {
            break;
        }
        *part.add_kept() = std::move(kept);
    }
}

std::optional<JournalWriteObject> JournalCompaction::nextPart(absl::Time now)
{
    wire::JournalSnapshot part;
    this->fillPart(part, now);
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

JournalWriteObject JournalCompaction::makeRootWrite(const std::optional<StoredObject> &storedRoot, const wire::JournalSnapshot &parsedRoot)
{
    for (std::uint32_t part = 0; part < parsedRoot.parts(); ++part) {
        this->pending->oldParts.push_back(this->keys.part(parsedRoot.number(), part));
    }
    std::string text = this->pending->root.SerializeAsString();
    this->pending->bytes += text.size();
    const Precondition precondition = storedRoot.has_value() ? Precondition::at(storedRoot->version) : Precondition::absent();
    return {0, this->keys.root(), std::move(text), precondition};
}

JournalDeleteObjects JournalCompaction::finish()
{
    const JournalPendingSnapshot done = std::move(*this->pending);
    this->pending.reset();
    JournalDeleteObjects deletions;
    JournalObjectReferences &references = this->index.objectReferences();
    for (const std::uint64_t number : done.keptFences) {
        references.untrack(number);
    }
    for (const std::uint64_t number : done.obsoleteObjects) {
        (references.hasBodyObjects(number) ? deletions.keysWithBodyObjects : deletions.keys).push_back(this->keys.object(number));
        references.untrack(number);
        this->fences.removeObsolete(number);
    }
    std::vector<std::string> candidateParts = std::exchange(this->partsWritten, {});
    candidateParts.insert(candidateParts.end(), done.oldParts.begin(), done.oldParts.end());
    for (std::string &key : candidateParts) {
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

// A snapshot may fail: nothing is lost, because no object is deleted before it is written. Its parts are deleted after the next snapshot.
void JournalCompaction::postpone(absl::Time now)
{
    this->pending.reset();
    this->nextSnapshotAt = now + retryDelay;
}

} // namespace Bergamotramp
