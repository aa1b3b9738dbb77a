#pragma once

#include <cstdint>
#include <string>

#include "HostInfo.h"
#include "bergamotramp.pb.h"

namespace Bergamotramp {

/** What is claimed of a member. Claims are ordered by incarnation, then by state in the order alive, suspect, leaving, dead. */
struct MemberClaim {
    std::uint64_t incarnation = 0;
    wire::MemberState state = wire::MEMBER_STATE_DEAD;

    auto operator<=>(const MemberClaim &) const = default;
};

wire::MemberUpdate toUpdate(const HostInfo &host, wire::MemberState state);
HostInfo hostOf(const wire::MemberUpdate &update);
MemberClaim claimOf(const wire::MemberUpdate &update);
/** False for updates without name, address, incarnation or a known state. */
bool isUsable(const wire::MemberUpdate &update);
/** "alive", "suspect", "leaving" or "dead". */
std::string memberStateName(wire::MemberState state);

} // namespace Bergamotramp
