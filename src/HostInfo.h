#pragma once

#include <cstdint>
#include <string>

namespace Bergamotramp {

/** A host as the services of another host see it. */
struct HostInfo {
    std::string name;
    /** Grows with every restart and every refuted suspicion. */
    std::uint64_t incarnation = 0;
    std::string region;
    std::string dataCentre;
    std::string callerAddress;
    std::string peerAddress;
    std::string adminAddress;

    bool operator==(const HostInfo &) const = default;
};

} // namespace Bergamotramp
