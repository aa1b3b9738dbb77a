#pragma once

#include <cstdint>
#include <string>

namespace Bergamotramp {

/** Identity and addresses of a host, as other hosts know them. */
struct HostInfo {
    std::string name;
    /** Increases at every restart, and whenever the host refutes a suspicion that it has failed. */
    std::uint64_t incarnation = 0;
    std::string region;
    std::string dataCentre;
    std::string callerAddress;
    std::string peerAddress;
    std::string adminAddress;

    bool operator==(const HostInfo &) const = default;
};

} // namespace Bergamotramp
