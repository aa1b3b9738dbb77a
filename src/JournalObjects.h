#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include <absl/container/flat_hash_set.h>

namespace Bergamotramp {

/** The objects of a shard's chain that may become obsolete, and how many results that the index refers to each of them holds. */
class JournalObjects
{
public:
    /** Starts the tracking of an object. */
    void add(std::uint64_t number);
    /** Counts a result; @p largeResult when its body is kept in objects of its own. */
    void refer(std::uint64_t number, bool largeResult);
    void release(std::uint64_t number);
    /** Ends the tracking of an object. */
    void remove(std::uint64_t number);
    [[nodiscard]] bool contains(std::uint64_t number) const;
    /** Tracked objects up to @p last without results. */
    [[nodiscard]] std::vector<std::uint64_t> unreferenced(std::uint64_t last) const;
    /** Whether the object holds or held a result with a body of its own. */
    [[nodiscard]] bool hasBodies(std::uint64_t number) const;
    [[nodiscard]] std::size_t bytes() const;
    void clear();

private:
    std::uint32_t &at(std::uint64_t number);

    /** Number of the first counter. */
    std::uint64_t first = 0;
    /** Results by object; the numbers are dense, so that a counter takes four bytes. */
    std::deque<std::uint32_t> counts;
    absl::flat_hash_set<std::uint64_t> bodies;
};

} // namespace Bergamotramp
