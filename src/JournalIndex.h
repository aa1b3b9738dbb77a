#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include <absl/time/time.h>

#include "JournalKeyState.h"
#include "JournalKeyTable.h"
#include "JournalObjectReferences.h"
#include "JournalRetention.h"
#include "bergamotramp.pb.h"

namespace Bergamotramp {

/** The intent to run the request with a key. */
struct JournalIntent {
    std::string key;
    std::uint64_t fingerprint = 0;
    bool idempotent = false;
    /** The requesting host and the number of its call, which identify a repeated call. */
    std::string host;
    std::uint64_t callNumber = 0;
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
    bool endedWithoutResult = false;
};

/** The end of a call whose host got no answer in time. The host has sent nothing to an upstream for the call and never will. */
struct JournalWithdrawal {
    std::string key;
    /** The requesting host and the number of its call, as in JournalIntent. */
    std::string host;
    std::uint64_t callNumber = 0;

    bool operator==(const JournalWithdrawal &) const = default;
};

/** The index's decision on a request, and the record that has to become durable before the reply may be sent. */
struct JournalDecision {
    wire::JournalState state = wire::JOURNAL_STATE_NOT_FOUND;
    std::uint32_t attempt = 0;
    std::optional<wire::JournalEntry> record;
    /** An attempt before the granted one may have run. */
    bool earlierAttempts = false;
};

/**
 * The state of each key of a journal shard, without the results, which stay in the objects of the chain. A record contains the whole state of
 * its key, so a replay only has to put the records in order. A decision doesn't change the index; the record that it returns has to be put.
 */
class JournalIndex
{
public:
    /** Keeps keys for @p retention after their last attempt ended. */
    explicit JournalIndex(absl::Duration retention);
    explicit JournalIndex(JournalRetentionLimits limits);

    [[nodiscard]] JournalDecision begin(const JournalIntent &intent, absl::Time now) const;
    [[nodiscard]] JournalDecision finish(const JournalCompletion &completion, absl::Time now) const;
    /**
     * Ends the attempt of a call, also after its deadline, and refuses a begin of the call that arrives later. The decision always has a record,
     * so that only the holder of the shard can answer.
     */
    [[nodiscard]] JournalDecision withdraw(const JournalWithdrawal &withdrawal, absl::Time now) const;
    [[nodiscard]] JournalDecision read(const std::string &key, absl::Time now) const;

    /** @p object is the number of the object that holds the record, or 0 while the record isn't durable. */
    void put(const wire::JournalEntry &record, std::uint64_t object = 0);
    void put(const JournalKeyState &state);
    /** Sets the number of the object that holds the result of a finished key. */
    void setResultObject(const std::string &key, std::uint64_t object);
    void erase(const std::string &key);
    /** Returns nullptr when the index has no state for @p key. */
    [[nodiscard]] const JournalKeyState *find(const std::string &key) const;
    /** Whether the index has a state for @p key that has not expired. */
    [[nodiscard]] bool contains(const std::string &key, absl::Time now) const;

    /** Number of slots. A key keeps its slot while others change, so that a pass over all slots may be interrupted. */
    [[nodiscard]] std::size_t slotCount() const;
    /** Returns nullptr for a free slot. */
    [[nodiscard]] const JournalKeyState *at(std::size_t slot) const;
    /** Removes the expired keys in @p count slots from @p slot on. */
    void sweep(std::size_t slot, std::size_t count, absl::Time now);
    /** Lets the oldest ended keys expire until @p bytes suffice, as far as the shortest retention allows. sweep() then frees their memory. */
    void evict(std::size_t bytes, absl::Time now);
    /** Keys that ended at or before this time have expired. */
    [[nodiscard]] absl::Time expiryHorizon(absl::Time now) const;
    void raiseExpiryHorizon(absl::Time horizon);

    /** The objects of the chain and the number of results in each. */
    JournalObjectReferences &objectReferences();
    [[nodiscard]] const JournalObjectReferences &objectReferences() const;
    [[nodiscard]] std::size_t size() const;
    /** Memory in bytes, estimated from the number of keys and objects. */
    [[nodiscard]] std::size_t bytes() const;
    void clear();

private:
    [[nodiscard]] const JournalKeyState *findUnexpired(const std::string &key, absl::Time now) const;
    void removeFromCounts(const JournalKeyState &state);

    JournalKeyTable table;
    JournalRetention retention;
    JournalObjectReferences references;
};

} // namespace Bergamotramp
