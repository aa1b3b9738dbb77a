#pragma once

#include <string>

#include <absl/time/time.h>

#include "CallerServer.h"
#include "ModelExchange.h"

namespace Bergamotramp {

/** One request to a plain service. */
struct PlainRequest {
    /** Prefix of the attempts' ids. */
    std::string id;
    ServiceSpec service;
    std::string method;
    /** Path and query at the upstream. */
    std::string target;
    std::string contentType;
    std::string body;
    /** Idempotency key, passed on to the upstream; empty for none. */
    std::string key;
    std::string organisation;
    std::uint64_t fingerprint = 0;
    wire::WorkClass workClass = wire::WORK_CLASS_ONLINE;
    absl::Time deadline;
    bool idempotent = false;
    bool earlierMayHaveRun = false;
};

/** Runs the attempts of a plain request on the calling thread and returns the answer. Throws CallerError. */
CompleteResponse runPlainRequest(const PlainRequest &request, const ExchangeDependencies &dependencies, CallCancellation &cancellation);

} // namespace Bergamotramp
