#pragma once

#include <cstdint>
#include <set>

namespace Bergamotramp {

/** Which versions of the operator's configuration this host has seen, by their revision in the store, and which of them is in force. */
class ConfigVersions
{
public:
    /** Whether a version is to be decoded: it is newer than the one in force and has not been rejected. */
    [[nodiscard]] bool needsDecoding(std::uint64_t revision) const;
    void recordInForce(std::uint64_t revision);
    void recordRejected(std::uint64_t revision);
    /** Newest version that this host has put in force or rejected; 0 before the first one. */
    [[nodiscard]] std::uint64_t newestSeen() const;

    bool operator==(const ConfigVersions &) const = default;

private:
    std::uint64_t inForce = 0;
    /** The rejected versions that are newer than the one in force. */
    std::set<std::uint64_t> rejected;
};

} // namespace Bergamotramp
