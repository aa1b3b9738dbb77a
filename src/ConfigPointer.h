#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Bergamotramp {

/** One publication: its generation, the key of its catalogue object and the id of its writer. */
struct ConfigEntry {
    std::uint64_t generation = 0;
    std::string key;
    std::string writer;

    bool operator==(const ConfigEntry &) const = default;
};

/**
 * Value of the object config/current: the generation in force and the publications before it.
 * The history lets a writer whose answer was lost find its publication after another one has followed.
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
    /** Returns nullptr when the generation is not in the history. */
    [[nodiscard]] const ConfigEntry *find(std::uint64_t generation) const;
    /** The pointer after @p entry is published; drops the entries beyond maxEntries. */
    [[nodiscard]] ConfigPointer followedBy(const ConfigEntry &entry) const;
};

} // namespace Bergamotramp
