#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

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
    wire::RecordedResult result;
    std::optional<wire::JournalEntry> record;
    /** An earlier attempt than the one handed out may have run. */
    bool earlierAttempts = false;
};

/**
 * What stands under each key of a journal shard. A record is the whole state of its key, so that replaying means to put records in order.
 * Decisions change nothing; the caller puts the record that a decision returns.
 */
class JournalIndex
{
public:
    explicit JournalIndex(absl::Duration retention);

    [[nodiscard]] JournalDecision begin(const JournalIntent &intent, absl::Time now) const;
    [[nodiscard]] JournalDecision finish(const JournalCompletion &completion, absl::Time now) const;
    [[nodiscard]] JournalDecision read(const std::string &key, absl::Time now) const;

    void put(const wire::JournalEntry &record);
    void erase(const std::string &key);
    /** Returns nullptr when nothing stands under @p key. */
    [[nodiscard]] const wire::JournalEntry *find(const std::string &key) const;
    /** Whether no attempt under @p key can have run. */
    [[nodiscard]] bool neverRun(const std::string &key, absl::Time now) const;
    void forEach(const std::function<void(const wire::JournalEntry &)> &visit) const;
    /** Removes records past the retention; returns the store objects that only they referred to. */
    std::vector<std::string> expire(absl::Time now);
    [[nodiscard]] std::size_t size() const;
    void clear();

private:
    [[nodiscard]] const wire::JournalEntry *findUnexpired(const std::string &key, absl::Time now) const;
    [[nodiscard]] bool expired(const wire::JournalEntry &entry, absl::Time now) const;

    absl::Duration retention;
    absl::flat_hash_map<std::string, wire::JournalEntry> entries;
};

} // namespace Bergamotramp
