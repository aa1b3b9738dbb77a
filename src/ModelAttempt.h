#pragma once

#include <functional>
#include <string>

#include "ModelExchange.h"

namespace Bergamotramp {

/** The input of one attempt, which runs on a worker thread and reads no other data of its exchange. */
struct AttemptPlan {
    std::size_t index = 0;
    std::string id;
    SlotDemand demand;
    ModelRequest request;
    /** Id and upstream of the preempted attempt that this one may resume; empty for none. */
    std::string resumeId;
    std::string resumeUpstream;
    /** Tokens received from the attempt to resume. */
    std::uint32_t resumeTokens = 0;
    /** Length of the text in these tokens, in characters. */
    std::size_t resumePosition = 0;
};

/** Acquires a slot, calls the upstream and passes every event to @p report; blocks until the attempt has ended. */
void runModelAttempt(const AttemptPlan &plan,
                     const ExchangeDependencies &dependencies,
                     CallCancellation &cancellation,
                     const std::function<void(AttemptEvent)> &report);

} // namespace Bergamotramp
