#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Bergamotramp {

/** Names of the members whose latest state has to be sent to others, piggybacked on probe messages and acks. */
class UpdateQueue
{
public:
    /** Queues @p name, or resets its number of sends when it is already queued. */
    void add(const std::string &name);
    void remove(const std::string &name);
    /**
     * Returns up to @p count names and counts one send of each. Names with the fewest sends come first and among these the
     * ones that were queued last. A name is removed after @p maxSends sends.
     */
    std::vector<std::string> take(std::size_t count, std::size_t maxSends);
    [[nodiscard]] std::size_t size() const;

private:
    struct Entry {
        std::size_t sends = 0;
        std::uint64_t insertionNumber = 0;
    };

    std::map<std::string, Entry> entries;
    std::uint64_t nextInsertionNumber = 0;
};

} // namespace Bergamotramp
