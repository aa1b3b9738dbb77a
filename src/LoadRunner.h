#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "HostClient.h"
#include "LoadRequestSender.h"

namespace Bergamotramp {

/** Results of a load. */
struct LoadObservation {
    /** One for each planned request, in the order of the intended send times. */
    std::vector<LoadRecord> records;
    std::optional<JobObservation> job;

    bool operator==(const LoadObservation &) const = default;
};

/**
 * Runs an open-loop load: requests are sent at their intended times whether or not earlier ones have been answered,
 * up to the plan's concurrency. A request that has to wait for a free thread is sent late, and its latency includes the wait.
 * Late requests are still sent for a limited time after the plan's duration. Returns after the last response, which arrives
 * at most the longest deadline after the last request was sent.
 */
LoadObservation runLoad(const LoadPlan &plan, const HostClient::AddressSource &entries, const ExpectedText &expectedText);

} // namespace Bergamotramp
