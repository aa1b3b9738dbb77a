#pragma once

#include <cstdint>
#include <string>

namespace Bergamotramp {

/** Keys of the store objects of one journal shard. */
class JournalObjectKeys
{
public:
    explicit JournalObjectKeys(std::uint32_t shard);

    [[nodiscard]] std::string object(std::uint64_t number) const;
    /** Key of the snapshot's root, which is its first part. */
    [[nodiscard]] std::string root() const;
    [[nodiscard]] std::string part(std::uint64_t snapshotNumber, std::size_t part) const;

private:
    std::string prefix;
};

} // namespace Bergamotramp
