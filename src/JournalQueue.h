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

/** A record that is not durable yet, and what stood under its key before. */
struct JournalQueued {
    std::uint64_t sequence = 0;
    wire::JournalEntry record;
    std::optional<JournalKeyState> before;
    bool intent = false;
    bool abandoned = false;
};

/**
 * Group commit: records wait here until a batch of them goes into the next object. They stand in the index already.
 * At most one batch is under way.
 */
class JournalQueue
{
public:
    explicit JournalQueue(JournalIndex &index);

    /** Puts the record into the index; returns its sequence number, which is greater than all before. */
    std::uint64_t push(wire::JournalEntry record, bool intent);
    /** Makes a batch of the oldest records, at least one where any wait, up to @p limit bytes. */
    const std::vector<JournalQueued> &takeBatch(std::size_t limit);
    /** Ends the batch as durable in the object @p number. */
    std::vector<JournalQueued> commitBatch(std::uint64_t number);
    /** Ends the batch as certainly not written; its records wait again. */
    void returnBatch();
    /** Takes a record back unless it may become durable; returns whether it was removed. The record is marked as abandoned otherwise. */
    bool abandon(std::uint64_t sequence);
    /** The record if it waits outside of the batch, or nullptr. */
    [[nodiscard]] const JournalQueued *find(std::uint64_t sequence) const;
    /** Sequence number of the last record under @p key that is not durable; 0 for none. */
    [[nodiscard]] std::uint64_t undurable(const std::string &key) const;
    /** The result that the record with this number holds, or nullptr. */
    [[nodiscard]] const wire::RecordedResult *resultOf(std::uint64_t sequence) const;
    /** The records outside of the batch, oldest first. */
    [[nodiscard]] const std::deque<JournalQueued> &waiting() const;
    [[nodiscard]] bool empty() const;
    /** Bytes of the records outside of the batch. */
    [[nodiscard]] std::size_t bytes() const;
    /** Records in the batch and outside of it. */
    [[nodiscard]] std::size_t size() const;
    void clear();

private:
    void place(const JournalQueued &queued, std::uint64_t number);
    bool rollBack(std::size_t position);
    [[nodiscard]] std::uint64_t lastOf(const std::string &key) const;

    JournalIndex &index;
    std::uint64_t lastSequence = 0;
    std::deque<JournalQueued> queue;
    std::vector<JournalQueued> batch;
    std::size_t queuedBytes = 0;
    absl::flat_hash_map<std::string, std::uint64_t> lastSequences;
};

} // namespace Bergamotramp
