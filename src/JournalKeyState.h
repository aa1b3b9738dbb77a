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
absl::uint128 journalKeyDigest(std::string_view key);

/** Hash that identifies one call of one host. Returns 0 if @p callNumber is 0. */
std::uint64_t journalCallHash(const std::string &host, std::uint64_t callNumber);

/** What the index keeps in memory for a key: its last record without the key, the host and the result. */
struct JournalKeyState {
    absl::uint128 digest = 0;
    std::uint64_t fingerprint = 0;
    std::int64_t deadlineUs = 0;
    std::int64_t writtenUs = 0;
    /** Finished: number of the object that holds the result, 0 while that isn't durable. Otherwise: hash of the call that recorded the intent. */
    std::uint64_t reference = 0;
    std::uint32_t attempt = 0;
    bool idempotent : 1 = false;
    bool finished : 1 = false;
    /** The key is free; only the attempt number is kept. */
    bool notRun : 1 = false;
    /** An earlier attempt may have run. */
    bool earlierAttempts : 1 = false;
    /** The body of the result is stored in separate objects. */
    bool largeResult : 1 = false;

    bool operator==(const JournalKeyState &) const = default;

    /** Converts a record. @p object is the number of its chain object and is used for a finished key only. */
    static JournalKeyState fromRecord(const wire::JournalEntry &record, std::uint64_t object);
    static JournalKeyState fromKept(const wire::JournalKept &kept);
    [[nodiscard]] wire::JournalKept toKept() const;
    /** The record without its result. */
    [[nodiscard]] wire::JournalEntry toRecord(const std::string &key) const;
    /** When the key's last attempt ended, or when it ends at the latest. */
    [[nodiscard]] absl::Time endTime() const;
    [[nodiscard]] wire::JournalState stateAt(absl::Time now) const;
};

} // namespace Bergamotramp
