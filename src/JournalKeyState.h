#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <absl/numeric/int128.h>
#include <absl/time/time.h>

#include "bergamotramp.pb.h"

namespace Bergamotramp {

/** 128-bit hash of a key, the same on every host. */
absl::uint128 journalDigest(std::string_view key);

/** Names one call of one host; 0 for none. */
std::uint64_t journalCall(const std::string &host, std::uint64_t request);

/** What the index keeps in memory for a key: everything of its last record but the key, the host and the result. */
struct JournalKeyState {
    absl::uint128 digest = 0;
    std::uint64_t fingerprint = 0;
    std::int64_t deadlineUs = 0;
    std::int64_t writtenUs = 0;
    /** Finished: number of the object that holds the result, 0 while that isn't durable. Otherwise: the call that recorded the intent. */
    std::uint64_t reference = 0;
    std::uint32_t attempt = 0;
    bool idempotent : 1 = false;
    bool finished : 1 = false;
    /** The key is free; only the attempt number is kept. */
    bool notRun : 1 = false;
    /** An earlier attempt may have run. */
    bool earlierAttempts : 1 = false;
    /** The body of the result is kept in objects of its own. */
    bool largeResult : 1 = false;

    bool operator==(const JournalKeyState &) const = default;

    /** From a record of the chain; the number of its object is set for a finished one. */
    static JournalKeyState fromRecord(const wire::JournalEntry &record, std::uint64_t object);
    static JournalKeyState fromKept(const wire::JournalKept &kept);
    [[nodiscard]] wire::JournalKept toKept() const;
    /** The record without its result. */
    [[nodiscard]] wire::JournalEntry toRecord(const std::string &key) const;
    /** When the key's last attempt ended or ends at the latest. */
    [[nodiscard]] absl::Time endOf() const;
    [[nodiscard]] wire::JournalState stateAt(absl::Time now) const;
};

} // namespace Bergamotramp
