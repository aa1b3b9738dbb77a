#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "StoreTypes.h"
#include "bergamotramp.pb.h"

namespace Bergamotramp {

/** Read an object of the store and report it with objectRead(). */
struct JournalReadObject {
    std::uint64_t ticket = 0;
    std::string key;

    bool operator==(const JournalReadObject &) const = default;
};

/** Write an object of the store and report the outcome with writeSettled(). */
struct JournalWriteObject {
    std::uint64_t ticket = 0;
    std::string key;
    std::string value;
    Precondition precondition;

    bool operator==(const JournalWriteObject &) const = default;
};

/** Remove objects that nothing refers to any more; nothing is reported back. */
struct JournalDeleteObjects {
    std::vector<std::string> keys;
    /** Objects of the chain with results whose bodies are objects of their own; those are to be removed first. */
    std::vector<std::string> withBodies;

    bool operator==(const JournalDeleteObjects &) const = default;
};

using JournalAnswer = std::variant<wire::JournalBegun, wire::JournalFinished, wire::JournalRecord>;

/** Answer a request that was given with the same number. */
struct JournalReply {
    std::uint64_t request = 0;
    JournalAnswer answer;
};

using JournalAction = std::variant<JournalReadObject, JournalWriteObject, JournalDeleteObjects, JournalReply>;
using JournalActions = std::vector<JournalAction>;

/** What a read of the store found. */
struct JournalReadResult {
    /** False when the store did not answer. */
    bool answered = false;
    std::optional<StoredObject> object;

    bool operator==(const JournalReadResult &) const = default;
};

} // namespace Bergamotramp
