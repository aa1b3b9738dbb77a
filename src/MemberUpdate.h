#pragma once

#include <cstdint>
#include <string>

#include "HostInfo.h"
#include "bergamotramp.pb.h"

namespace Bergamotramp {

/**
 * Incarnation and state that a host reports of a member. A greater claim overrides a lesser one: claims are ordered by
 * incarnation, then by state in the order alive, suspect, leaving, dead.
 */
struct MemberClaim {
    std::uint64_t incarnation = 0;
    wire::MemberState state = wire::MEMBER_STATE_DEAD;

    auto operator<=>(const MemberClaim &) const = default;
};

wire::MemberUpdate toUpdate(const HostInfo &host, wire::MemberState state);
HostInfo hostOf(const wire::MemberUpdate &update);
MemberClaim claimOf(const wire::MemberUpdate &update);
/** Returns false for an update without a name, a peer address, an incarnation or a known state. */
bool isValid(const wire::MemberUpdate &update);
/** "alive", "suspect", "leaving" or "dead". */
std::string memberStateName(wire::MemberState state);

} // namespace Bergamotramp
