#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Bergamotramp {

/** Names of the members whose latest state still has to be piggybacked on messages. */
class UpdateQueue
{
public:
    /** Queues @p name; an update already queued for it starts anew. */
    void add(const std::string &name);
    void remove(const std::string &name);
    /**
     * Takes up to @p count names, the least often sent first and the newest first among equals.
     * A name leaves the queue after @p maxSends sends.
     */
    std::vector<std::string> take(std::size_t count, std::size_t maxSends);
    [[nodiscard]] std::size_t size() const;

private:
    struct Entry {
        std::size_t sends = 0;
        std::uint64_t number = 0;
    };

    std::map<std::string, Entry> entries;
    std::uint64_t nextNumber = 0;
};

} // namespace Bergamotramp
