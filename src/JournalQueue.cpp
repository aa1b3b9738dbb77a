#include "JournalQueue.h"

#include <algorithm>
#include <utility>

namespace Bergamotramp {

JournalQueue::JournalQueue(JournalIndex &index) : index(index)
{
}

std::uint64_t JournalQueue::push(wire::JournalEntry record, bool intent)
{
    JournalQueued queued{++this->lastSequence, std::move(record), std::nullopt, intent, false};
    const JournalKeyState *before = this->index.find(queued.record.key());
    if (before != nullptr) {
        queued.before = *before;
    }
    this->index.put(queued.record);
    this->lastSequences[queued.record.key()] = queued.sequence;
    this->queuedBytes += queued.record.ByteSizeLong();
    this->queue.push_back(std::move(queued));
    return this->lastSequence;
}

const std::vector<JournalQueued> &JournalQueue::takeBatch(std::size_t limit)
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

std::vector<JournalQueued> JournalQueue::commitBatch(std::uint64_t number)
{
    std::vector<JournalQueued> records = std::exchange(this->batch, {});
    for (const JournalQueued &queued : records) {
        this->place(queued, number);
    }
    return records;
}

// What a later record of the key would be rolled back to is placed instead of the index's state.
void JournalQueue::place(const JournalQueued &queued, std::uint64_t number)
{
    const std::string &key = queued.record.key();
    const auto last = this->lastSequences.find(key);
    if (last != this->lastSequences.end() && last->second == queued.sequence) {
        this->lastSequences.erase(last);
        this->index.place(key, number);
        return;
    }
    const auto next = std::find_if(this->queue.begin(), this->queue.end(), [&key](const JournalQueued &later) { return later.record.key() == key; });
    if (next != this->queue.end() && queued.record.finished()) {
        next->before = JournalKeyState::fromRecord(queued.record, number);
    }
}

void JournalQueue::returnBatch()
{
    std::vector<JournalQueued> records = std::exchange(this->batch, {});
    for (auto queued = records.rbegin(); queued != records.rend(); ++queued) {
        this->queuedBytes += queued->record.ByteSizeLong();
        this->queue.push_front(std::move(*queued));
    }
}

bool JournalQueue::abandon(std::uint64_t sequence)
{
    for (std::size_t position = 0; position < this->queue.size(); ++position) {
        if (this->queue[position].sequence == sequence) {
            return this->rollBack(position);
        }
    }
    for (JournalQueued &queued : this->batch) {
        queued.abandoned = queued.abandoned || queued.sequence == sequence;
    }
    return false;
}

// A record that later ones of its key rest on stays.
bool JournalQueue::rollBack(std::size_t position)
{
    JournalQueued &queued = this->queue[position];
    const std::string key = queued.record.key();
    if (this->undurable(key) != queued.sequence) {
        queued.abandoned = true;
        return false;
    }
    if (queued.before.has_value()) {
        this->index.put(*queued.before);
    } else {
        this->index.erase(key);
    }
    this->queuedBytes -= queued.record.ByteSizeLong();
    this->queue.erase(this->queue.begin() + static_cast<std::ptrdiff_t>(position));
    const std::uint64_t previous = this->lastOf(key);
    if (previous == 0) {
        this->lastSequences.erase(key);
    } else {
        this->lastSequences[key] = previous;
    }
    return true;
}

std::uint64_t JournalQueue::lastOf(const std::string &key) const
{
    for (auto queued = this->queue.rbegin(); queued != this->queue.rend(); ++queued) {
        if (queued->record.key() == key) {
            return queued->sequence;
        }
    }
    std::uint64_t last = 0;
    for (const JournalQueued &queued : this->batch) {
        last = queued.record.key() == key ? queued.sequence : last;
    }
    return last;
}

const JournalQueued *JournalQueue::find(std::uint64_t sequence) const
{
    const auto position = std::find_if(this->queue.begin(), this->queue.end(), [sequence](const JournalQueued &queued) { return queued.sequence == sequence; });
    return position == this->queue.end() ? nullptr : &*position;
}

const wire::RecordedResult *JournalQueue::resultOf(std::uint64_t sequence) const
{
    const JournalQueued *queued = this->find(sequence);
    for (const JournalQueued &sent : this->batch) {
        queued = sent.sequence == sequence ? &sent : queued;
    }
    return queued != nullptr && queued->record.finished() ? &queued->record.result() : nullptr;
}

std::uint64_t JournalQueue::undurable(const std::string &key) const
{
    const auto last = this->lastSequences.find(key);
    return last == this->lastSequences.end() ? 0 : last->second;
}

const std::deque<JournalQueued> &JournalQueue::waiting() const
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
    this->lastSequences.clear();
}

} // namespace Bergamotramp
