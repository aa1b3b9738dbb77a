#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include <absl/time/time.h>

#include "JournalKeyState.h"
#include "JournalObjects.h"
#include "JournalRetention.h"
#include "JournalSlots.h"
#include "bergamotramp.pb.h"

namespace Bergamotramp {

/** A wish to run the request under a key. */
struct JournalIntent {
    std::string key;
    std::uint64_t fingerprint = 0;
    bool idempotent = false;
    /** The host that asks, and the number of its call. */
    std::string host;
    std::uint64_t request = 0;
    absl::Duration timeLeft;

    bool operator==(const JournalIntent &) const = default;
};

/** The end of an attempt. */
struct JournalCompletion {
    std::string key;
    std::uint32_t attempt = 0;
    wire::RecordedResult result;
    /** The attempt sent nothing to an upstream. */
    bool notRun = false;
    /** The attempt may have run but will have no result; only for idempotent requests. */
    bool ended = false;
};

/** What the index says to an event, and the record that has to become durable before the answer may be given. */
struct JournalDecision {
    wire::JournalState state = wire::JOURNAL_STATE_NOT_FOUND;
    std::uint32_t attempt = 0;
    std::optional<wire::JournalEntry> record;
    /** An earlier attempt than the one handed out may have run. */
    bool earlierAttempts = false;
};

/**
 * What stands under each key of a journal shard, without the results, which stay in the objects of the chain. A record is the whole state of
 * its key, so that replaying means to put records in order. Decisions change nothing; the caller puts the record that a decision returns.
 */
class JournalIndex
{
public:
    /** Keeps keys for @p retention after their last attempt ended. */
    explicit JournalIndex(absl::Duration retention);
    explicit JournalIndex(JournalRetentionLimits limits);

    [[nodiscard]] JournalDecision begin(const JournalIntent &intent, absl::Time now) const;
    [[nodiscard]] JournalDecision finish(const JournalCompletion &completion, absl::Time now) const;
    [[nodiscard]] JournalDecision read(const std::string &key, absl::Time now) const;

    /** @p object is the number of the object that holds the record, or 0 while it isn't durable. */
    void put(const wire::JournalEntry &record, std::uint64_t object = 0);
    void put(const JournalKeyState &state);
    /** Notes the object that holds the result of a finished key. */
    void place(const std::string &key, std::uint64_t object);
    void erase(const std::string &key);
    /** Returns nullptr when nothing stands under @p key. */
    [[nodiscard]] const JournalKeyState *find(const std::string &key) const;
    /** Whether a key that ended at or before its retention's end stands under @p key. */
    [[nodiscard]] bool knows(const std::string &key, absl::Time now) const;

    /** Slots to pass over; a slot keeps its key while changes go on. */
    [[nodiscard]] std::size_t slotCount() const;
    /** Returns nullptr for a free slot. */
    [[nodiscard]] const JournalKeyState *at(std::size_t slot) const;
    /** Removes the keys that are gone in @p count slots from @p slot on. */
    void sweep(std::size_t slot, std::size_t count, absl::Time now);
    /** Drops the oldest ended keys until @p bytes suffice, as far as the shortest retention allows; sweeping frees their memory. */
    void evict(std::size_t bytes, absl::Time now);
    /** Keys that ended at or before this time are gone. */
    [[nodiscard]] absl::Time horizon(absl::Time now) const;
    void raiseHorizon(absl::Time horizon);

    /** Objects of the chain and the results in them. */
    JournalObjects &chainObjects();
    [[nodiscard]] const JournalObjects &chainObjects() const;
    [[nodiscard]] std::size_t size() const;
    /** Memory, estimated from the number of keys and objects. */
    [[nodiscard]] std::size_t bytes() const;
    void clear();

private:
    [[nodiscard]] const JournalKeyState *findKept(const std::string &key, absl::Time now) const;
    void remove(const JournalKeyState &state);

    JournalSlots slots;
    JournalRetention retention;
    JournalObjects objects;
};

} // namespace Bergamotramp
