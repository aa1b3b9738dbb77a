#pragma once

#include <string>

#include <nlohmann/json.hpp>

#include "HostClient.h"

namespace Bergamotramp {

/** The hosts that one host lists, each with "generation", "draining" and "active_requests" from its own admin interface.
    A host that doesn't answer has "reachable": false. Throws CliError when the first call fails. */
nlohmann::json readHosts(HostClient &admin);

/** One row for each upstream, as the holder of its pool sees it; without the holder's answer as the asked host sees it. */
nlohmann::json readUpstreams(HostClient &admin);

/** The admin address in an entry of the hosts' list; empty when there is none. */
std::string adminAddressOf(const nlohmann::json &host);

} // namespace Bergamotramp
