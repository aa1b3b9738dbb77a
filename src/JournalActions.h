#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "StoreTypes.h"
#include "bergamotramp.pb.h"

namespace Bergamotramp {

/** Requests a read of a store object. Its result goes to JournalShard::handleReadResult(). */
struct JournalReadObject {
    std::uint64_t ticket = 0;
    std::string key;

    bool operator==(const JournalReadObject &) const = default;
};

/** Requests a write of a store object. Its outcome goes to JournalShard::handleWriteResult(). */
struct JournalWriteObject {
    std::uint64_t ticket = 0;
    std::string key;
    std::string value;
    Precondition precondition;

    bool operator==(const JournalWriteObject &) const = default;
};

/** Requests the deletion of store objects that nothing refers to any more. No result is reported to the shard. */
struct JournalDeleteObjects {
    std::vector<std::string> keys;
    /** Chain objects with results whose bodies are stored in separate objects. The body objects must be deleted before the chain object. */
    std::vector<std::string> keysWithBodyObjects;

    bool operator==(const JournalDeleteObjects &) const = default;
};

using JournalAnswer = std::variant<wire::JournalBegun, wire::JournalFinished, wire::JournalRecord>;

/** Replies to the request that was passed to the shard with the same identifier. */
struct JournalReply {
    std::uint64_t requestId = 0;
    JournalAnswer answer;
};

using JournalAction = std::variant<JournalReadObject, JournalWriteObject, JournalDeleteObjects, JournalReply>;
using JournalActions = std::vector<JournalAction>;

/** Result of a read of a store object. */
struct JournalReadResult {
    /** False when the read failed. */
    bool answered = false;
    std::optional<StoredObject> object;

    bool operator==(const JournalReadResult &) const = default;
};

} // namespace Bergamotramp
