#include "MemberUpdate.h"

namespace Bergamotramp {

wire::MemberUpdate toUpdate(const HostInfo &host, wire::MemberState state)
{
    wire::MemberUpdate update;
    update.set_name(host.name);
    update.set_incarnation(host.incarnation);
    update.set_state(state);
    update.set_region(host.region);
    update.set_data_centre(host.dataCentre);
    update.set_caller_address(host.callerAddress);
    update.set_peer_address(host.peerAddress);
    update.set_admin_address(host.adminAddress);
    return update;
}

HostInfo hostOf(const wire::MemberUpdate &update)
{
    return {update.name(), update.incarnation(), update.region(), update.data_centre(), update.caller_address(), update.peer_address(), update.admin_address()};
}

MemberClaim claimOf(const wire::MemberUpdate &update)
{
    return {update.incarnation(), update.state()};
}

bool isValid(const wire::MemberUpdate &update)
{
    return !update.name().empty() && !update.peer_address().empty() && update.incarnation() > 0 && wire::MemberState_IsValid(update.state());
}

std::string memberStateName(wire::MemberState state)
{
    switch (state) {
    case wire::MEMBER_STATE_ALIVE:
        return "alive";
    case wire::MEMBER_STATE_SUSPECT:
        return "suspect";
    case wire::MEMBER_STATE_LEAVING:
        return "leaving";
    default:
        return "dead";
    }
}

} // namespace Bergamotramp
