#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "HostClient.h"
#include "LoadCall.h"

namespace Bergamotramp {

/** Everything that was observed during a load. */
struct LoadObservation {
    /** One for each planned request, in the order of the intended times. */
    std::vector<LoadRecord> records;
    std::optional<JobObservation> job;

    bool operator==(const LoadObservation &) const = default;
};

/**
 * Runs an open-loop load: requests are sent at their intended times whether or not earlier ones have been answered,
 * up to the plan's concurrency. A request that has to wait for a free thread is sent late, and its latency includes the wait.
 * Returns after the last answer, at most the longest deadline after the plan's duration and the send queue's end.
 */
LoadObservation runLoad(const LoadPlan &plan, const HostClient::AddressSource &entries, const ExpectedText &expectedText);

} // namespace Bergamotramp
