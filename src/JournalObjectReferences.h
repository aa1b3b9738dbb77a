#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include <absl/container/flat_hash_set.h>

namespace Bergamotramp {

/** Reference counts of the chain's objects: how many results the index refers to in each. An object without references may be obsolete. */
class JournalObjectReferences
{
public:
    /** Starts to track an object. */
    void track(std::uint64_t number);
    /** Counts a result in an object. @p largeResult tells that its body is stored in separate objects. */
    void addReference(std::uint64_t number, bool largeResult);
    void removeReference(std::uint64_t number);
    /** Stops tracking an object. */
    void untrack(std::uint64_t number);
    [[nodiscard]] bool isTracked(std::uint64_t number) const;
    /** Tracked objects up to @p last without results. */
    [[nodiscard]] std::vector<std::uint64_t> unreferenced(std::uint64_t last) const;
    /** Whether the object holds or held a result whose body is stored in separate objects. */
    [[nodiscard]] bool hasBodyObjects(std::uint64_t number) const;
    [[nodiscard]] std::size_t bytes() const;
    void clear();

private:
    std::uint32_t &counter(std::uint64_t number);

    /** Object number of the first counter. */
    std::uint64_t firstNumber = 0;
    /** Number of results by object. Object numbers are dense, so that an object takes four bytes. */
    std::deque<std::uint32_t> counts;
    absl::flat_hash_set<std::uint64_t> withBodyObjects;
};

} // namespace Bergamotramp
