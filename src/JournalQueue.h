#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "JournalIndex.h"
#include "bergamotramp.pb.h"

namespace Bergamotramp {

/** A record that is not durable yet, and the previous state of its key. */
struct JournalQueuedRecord {
    std::uint64_t sequence = 0;
    wire::JournalEntry record;
    std::optional<JournalKeyState> previousState;
    bool isIntent = false;
    bool abandoned = false;
};

/**
 * Group commit: records wait here until a batch of them is written in the next object. The index already contains them.
 * At most one batch is outstanding.
 */
class JournalQueue
{
public:
    explicit JournalQueue(JournalIndex &index);

    /** Queues the record and puts it into the index. Returns its sequence number, which is greater than all before. */
    std::uint64_t push(wire::JournalEntry record, bool isIntent);
    /** Moves the oldest records into a batch: up to @p limit bytes, but at least one record if any is queued. */
    const std::vector<JournalQueuedRecord> &takeBatch(std::size_t limit);
    /** Ends the batch as durable in the object @p number. Returns its records. */
    std::vector<JournalQueuedRecord> commitBatch(std::uint64_t number);
    /** Ends the batch as certainly not written. Its records are queued again. */
    void requeueBatch();
    /**
     * Removes a record. One that may become durable, or on which later records of its key depend, is only marked as abandoned.
     * Returns whether the record was removed.
     */
    bool withdraw(std::uint64_t sequence);
    /** Returns nullptr unless the record is queued outside of the batch. */
    [[nodiscard]] const JournalQueuedRecord *find(std::uint64_t sequence) const;
    /** Sequence number of the last record of @p key that is not durable; 0 for none. */
    [[nodiscard]] std::uint64_t lastPendingSequence(const std::string &key) const;
    /** The result in the record with this sequence number, or nullptr. */
    [[nodiscard]] const wire::RecordedResult *resultOf(std::uint64_t sequence) const;
    /** The records outside of the batch, oldest first. */
    [[nodiscard]] const std::deque<JournalQueuedRecord> &waiting() const;
    [[nodiscard]] bool empty() const;
    /** Bytes of the records outside of the batch. */
    [[nodiscard]] std::size_t bytes() const;
    /** Records in the batch and outside of it. */
    [[nodiscard]] std::size_t size() const;
    void clear();

private:
    void setResultObject(const JournalQueuedRecord &queued, std::uint64_t number);
    bool rollBack(std::size_t position);
    [[nodiscard]] std::uint64_t findLastSequence(const std::string &key) const;

    JournalIndex &index;
    std::uint64_t lastSequence = 0;
    std::deque<JournalQueuedRecord> queue;
    std::vector<JournalQueuedRecord> batch;
    std::size_t queuedBytes = 0;
    absl::flat_hash_map<std::string, std::uint64_t> pendingSequenceByKey;
};

} // namespace Bergamotramp
