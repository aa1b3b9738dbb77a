#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Bergamotramp {

/** One published catalogue: its generation, the store key of the catalogue object and the id of the writer. */
struct ConfigEntry {
    std::uint64_t generation = 0;
    std::string key;
    std::string writer;

    bool operator==(const ConfigEntry &) const = default;
};

/**
 * Value of the store object config/current: the active generation and the publications before it.
 * A writer whose answer was lost looks its publication up in this history, even after another one has followed.
 */
struct ConfigPointer {
    static constexpr std::size_t maxEntries = 16;

    /** Newest first; empty before the first publication. */
    std::vector<ConfigEntry> entries;

    bool operator==(const ConfigPointer &) const = default;

    /** Throws JsonError. */
    static ConfigPointer fromJsonText(std::string_view text);
    [[nodiscard]] std::string toJsonText() const;
    [[nodiscard]] std::uint64_t generation() const;
    /** Returns nullptr when the generation is not among the entries. */
    [[nodiscard]] const ConfigEntry *find(std::uint64_t generation) const;
    /** Returns a pointer with @p entry added as the newest one; drops the oldest entries beyond maxEntries. */
    [[nodiscard]] ConfigPointer followedBy(const ConfigEntry &entry) const;
};

} // namespace Bergamotramp
