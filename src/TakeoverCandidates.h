#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <absl/time/time.h>

#include "PeerTable.h"

namespace Bergamotramp {

/**
 * Names of the hosts among which the next runner of a job is chosen after @p runner was lost, including this host. In a large fleet
 * these are the hosts of the runner's data centre, because it announces itself more often to them and they notice its loss first. In
 * a small fleet, or when no host of that data centre is live, these are all live hosts: rolling stops go through one data centre
 * after another, so that a host of the same data centre is often stopped next.
 */
std::vector<std::string> takeoverCandidates(
    const PeerTable &peers, std::string_view self, std::string_view ownDataCentre, std::string_view runner, absl::Time now);

/**
 * Position of this host among the live hosts that may take over a job of the lost host @p runner: 0 for the preferred successor. First
 * come the candidates, then the other live hosts. Hosts with different knowledge of the fleet may compute different orders.
 */
std::size_t takeoverRank(
    const PeerTable &peers, std::string_view jobId, std::string_view self, std::string_view ownDataCentre, std::string_view runner, absl::Time now);

/** How long after it noticed the loss of the runner a host leaves a job to the hosts that come before it. */
absl::Duration takeoverWait(std::size_t rank);

} // namespace Bergamotramp
