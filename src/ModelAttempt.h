#pragma once

#include <functional>
#include <string>

#include "ModelExchange.h"

namespace Bergamotramp {

/** What one attempt needs; it shares nothing else with its exchange. */
struct AttemptPlan {
    std::size_t index = 0;
    std::string id;
    SlotDemand demand;
    ModelRequest request;
    /** Id and upstream of a preempted attempt that this one may resume. */
    std::string resumeId;
    std::string resumeUpstream;
    /** Tokens received of the attempt to resume. */
    std::uint32_t resumeTokens = 0;
    /** Characters of the answer in these tokens. */
    std::size_t resumePosition = 0;
};

/** Gets a slot, calls the upstream and reports every step to @p report; blocks until the attempt has ended. */
void runModelAttempt(const AttemptPlan &plan, const ExchangeParts &parts, CallCancellation &cancellation, const std::function<void(AttemptEvent)> &report);

} // namespace Bergamotramp
