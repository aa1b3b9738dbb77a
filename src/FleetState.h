#pragma once

#include <string>

#include <nlohmann/json.hpp>

#include "HostClient.h"

namespace Bergamotramp {

/** The hosts known to the queried host, each with "generation", "draining" and "active_requests" from its own admin interface.
    A host that doesn't respond has "reachable": false. Throws CliError when the list of hosts can't be read. */
nlohmann::json readHosts(HostClient &admin);

/** One row for each upstream, as reported by the holder of its slot pool, or by the queried host when the holder doesn't respond. */
nlohmann::json readUpstreams(HostClient &admin);

/** The admin address in an entry of the host list; empty when the entry has none. */
std::string adminAddressOf(const nlohmann::json &host);

} // namespace Bergamotramp
