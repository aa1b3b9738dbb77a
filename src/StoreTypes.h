#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Bergamotramp {

/** An object of the platform's store. Versions start at 1 and increase with each update. */
struct StoredObject {
    std::string key;
    std::string value;
    std::uint64_t version = 0;

    bool operator==(const StoredObject &) const = default;
};

/** Condition of a write: none, the object does not exist, or the object has a given version. */
struct Precondition {
    enum class Kind {
        None,
        Absent,
        Version,
    };

    Kind kind = Kind::None;
    std::uint64_t version = 0;

    bool operator==(const Precondition &) const = default;

    static Precondition none()
    {
        return {};
    }
    static Precondition absent()
    {
        return {Kind::Absent, 0};
    }
    static Precondition at(std::uint64_t version)
    {
        return {Kind::Version, version};
    }
};

/** Effect of a write, as far as it is known when the call ends. */
enum class WriteOutcome {
    /** The write took effect. */
    Applied,
    /** The precondition did not hold; the write took no effect. */
    Conflict,
    /** The write certainly took no effect, for example because the store could not be reached or refused the call. */
    Unavailable,
    /** The call was sent but no answer came; the write may have taken effect or may still do so. */
    Unanswered,
};

/** Outcome of a write; the version is the new one when the write was applied, else 0. */
struct WriteResult {
    WriteOutcome outcome = WriteOutcome::Unavailable;
    std::uint64_t version = 0;

    bool operator==(const WriteResult &) const = default;
};

/** A page of a listing. Unless it is complete, the next page is listed with the last key as "after". */
struct ListPage {
    std::vector<StoredObject> objects;
    bool complete = true;
    std::uint64_t revision = 0;
};

/** Keys with a watched prefix that changed, up to a revision of the store. */
struct WatchResult {
    std::vector<std::string> changedKeys;
    std::uint64_t revision = 0;
};

} // namespace Bergamotramp
