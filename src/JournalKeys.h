#pragma once

#include <cstdint>
#include <string>

namespace Bergamotramp {

/** Names of the store objects of one journal shard. */
class JournalKeys
{
public:
    explicit JournalKeys(std::uint32_t shard);

    [[nodiscard]] std::string object(std::uint64_t number) const;
    /** The first part of the snapshot. */
    [[nodiscard]] std::string root() const;
    [[nodiscard]] std::string part(std::uint64_t snapshotNumber, std::size_t part) const;

private:
    std::string prefix;
};

} // namespace Bergamotramp
