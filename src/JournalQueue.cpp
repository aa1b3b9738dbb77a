#include "JournalQueue.h"

#include <algorithm>
#include <utility>

namespace Bergamotramp {

JournalQueue::JournalQueue(JournalIndex &index) : index(index)
{
}

std::uint64_t JournalQueue::push(wire::JournalEntry record, bool isIntent)
{
    JournalQueuedRecord queued{++this->lastSequence, std::move(record), std::nullopt, isIntent, false};
    const JournalKeyState *before = this->index.find(queued.record.key());
    if (before != nullptr) {
        queued.previousState = *before;
    }
    this->index.put(queued.record);
    this->pendingSequenceByKey[queued.record.key()] = queued.sequence;
    this->queuedBytes += queued.record.ByteSizeLong();
    this->queue.push_back(std::move(queued));
    return this->lastSequence;
}

const std::vector<JournalQueuedRecord> &JournalQueue::takeBatch(std::size_t limit)
{
    std::size_t bytes = 0;
    while (!this->queue.empty()) {
        const std::size_t size = this->queue.front().record.ByteSizeLong();
        if (bytes > 0 && bytes + size > limit) {
            break;
        }
        bytes += size;
        this->queuedBytes -= size;
        this->batch.push_back(std::move(this->queue.front()));
        this->queue.pop_front();
    }
    return this->batch;
}

std::vector<JournalQueuedRecord> JournalQueue::commitBatch(std::uint64_t number)
{
    std::vector<JournalQueuedRecord> records = std::exchange(this->batch, {});
    for (const JournalQueuedRecord &queued : records) {
        this->setResultObject(queued, number);
    }
    return records;
}

// If the key has a later record, the number is set in the state that a rollback of that record restores, instead of in the index.
void JournalQueue::setResultObject(const JournalQueuedRecord &queued, std::uint64_t number)
{
    const std::string &key = queued.record.key();
    const auto last = this->pendingSequenceByKey.find(key);
    if (last != this->pendingSequenceByKey.end() && last->second == queued.sequence) {
        this->pendingSequenceByKey.erase(last);
        this->index.setResultObject(key, number);
        return;
    }
    const auto next = std::find_if(this->queue.begin(), this->queue.end(), [&key](const JournalQueuedRecord &later) { return later.record.key() == key; });
    if (next != this->queue.end() && queued.record.finished()) {
        next->previousState = JournalKeyState::fromRecord(queued.record, number);
    }
}

void JournalQueue::requeueBatch()
{
    std::vector<JournalQueuedRecord> records = std::exchange(this->batch, {});
    for (auto queued = records.rbegin(); queued != records.rend(); ++queued) {
        this->queuedBytes += queued->record.ByteSizeLong();
        this->queue.push_front(std::move(*queued));
    }
}

bool JournalQueue::withdraw(std::uint64_t sequence)
{
    for (std::size_t position = 0; position < this->queue.size(); ++position) {
        if (this->queue[position].sequence == sequence) {
            return this->rollBack(position);
        }
    }
    for (JournalQueuedRecord &queued : this->batch) {
        queued.abandoned = queued.abandoned || queued.sequence == sequence;
    }
    return false;
}

// A record isn't removed while later records of its key depend on it.
bool JournalQueue::rollBack(std::size_t position)
{
    JournalQueuedRecord &queued = this->queue[position];
    const std::string key = queued.record.key();
    if (this->lastPendingSequence(key) != queued.sequence) {
        queued.abandoned = true;
        return false;
    }
    if (queued.previousState.has_value()) {
        this->index.put(*queued.previousState);
    } else {
        this->index.erase(key);
    }
    this->queuedBytes -= queued.record.ByteSizeLong();
    this->queue.erase(this->queue.begin() + static_cast<std::ptrdiff_t>(position));
    const std::uint64_t previous = this->findLastSequence(key);
    if (previous == 0) {
        this->pendingSequenceByKey.erase(key);
    } else {
        this->pendingSequenceByKey[key] = previous;
    }
    return true;
}

std::uint64_t JournalQueue::findLastSequence(const std::string &key) const
{
    for (auto queued = this->queue.rbegin(); queued != this->queue.rend(); ++queued) {
        if (queued->record.key() == key) {
            return queued->sequence;
        }
    }
    std::uint64_t last = 0;
    for (const JournalQueuedRecord &queued : this->batch) {
        last = queued.record.key() == key ? queued.sequence : last;
    }
    return last;
}

const JournalQueuedRecord *JournalQueue::find(std::uint64_t sequence) const
{
    const auto position =
        std::find_if(this->queue.begin(), this->queue.end(), [sequence](const JournalQueuedRecord &queued) { return queued.sequence == sequence; });
    return position == this->queue.end() ? nullptr : &*position;
}

const wire::RecordedResult *JournalQueue::resultOf(std::uint64_t sequence) const
{
    const JournalQueuedRecord *queued = this->find(sequence);
    for (const JournalQueuedRecord &sent : this->batch) {
        queued = sent.sequence == sequence ? &sent : queued;
    }
    return queued != nullptr && queued->record.finished() ? &queued->record.result() : nullptr;
}

std::uint64_t JournalQueue::lastPendingSequence(const std::string &key) const
{
    const auto last = this->pendingSequenceByKey.find(key);
    return last == this->pendingSequenceByKey.end() ? 0 : last->second;
}

const std::deque<JournalQueuedRecord> &JournalQueue::waiting() const
{
    return this->queue;
}

bool JournalQueue::empty() const
{
    return this->queue.empty();
}

std::size_t JournalQueue::bytes() const
{
    return this->queuedBytes;
}

std::size_t JournalQueue::size() const
{
    return this->queue.size() + this->batch.size();
}

void JournalQueue::clear()
{
    this->queue.clear();
    this->batch.clear();
    this->queuedBytes = 0;
    this->pendingSequenceByKey.clear();
}

} // namespace Bergamotramp
