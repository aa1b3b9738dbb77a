#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include <absl/container/flat_hash_set.h>

#include "JournalKeyState.h"

namespace Bergamotramp {

/** Hash table of key states by digest. States never move between slots, so that a pass over the slots may be interrupted by changes. */
class JournalKeyTable
{
public:
    JournalKeyTable();
    JournalKeyTable(const JournalKeyTable &) = delete;
    JournalKeyTable &operator=(const JournalKeyTable &) = delete;

    /** Returns nullptr when the table has no state for @p digest. */
    [[nodiscard]] const JournalKeyState *find(absl::uint128 digest) const;
    void put(const JournalKeyState &state);
    void erase(absl::uint128 digest);
    /** Number of slots, including free ones. */
    [[nodiscard]] std::size_t slotCount() const;
    /** Returns nullptr for a free slot. */
    [[nodiscard]] const JournalKeyState *at(std::size_t slot) const;
    [[nodiscard]] std::size_t size() const;
    void clear();

private:
    using Slots = std::deque<JournalKeyState>;
    struct Hash {
        using is_transparent = void;
        const Slots *slots;

        std::size_t operator()(std::uint32_t slot) const;
        std::size_t operator()(absl::uint128 digest) const;
    };
    struct Equal {
        using is_transparent = void;
        const Slots *slots;

        bool operator()(std::uint32_t left, std::uint32_t right) const;
        bool operator()(std::uint32_t slot, absl::uint128 digest) const;
        bool operator()(absl::uint128 digest, std::uint32_t slot) const;
    };

    /** A free slot has the attempt number 0. */
    Slots slots;
    std::vector<std::uint32_t> freeSlots;
    absl::flat_hash_set<std::uint32_t, Hash, Equal> usedSlots;
};

} // namespace Bergamotramp
