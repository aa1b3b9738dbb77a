#pragma once

#include <memory>
#include <optional>
#include <string>

#include "Organisation.h"
#include "RoutingConfig.h"
#include "ServingProtocol.h"

namespace Bergamotramp {

/** Why a caller's key was not accepted. The request has not run. */
struct KeyRefusal {
    /** HTTP status. */
    int status = 401;
    /** Stable identifier of the cause. */
    std::string code;
    std::string message;

    bool operator==(const KeyRefusal &) const = default;
};

/** Result of authenticating a caller: an organisation, a refusal, or neither when no key is needed. */
struct Authentication {
    /** The caller's organisation; keeps the table of its configuration alive. */
    std::shared_ptr<const Organisation> organisation{};
    std::optional<KeyRefusal> refusal{};

    /** What the parts of the host that act for the caller need to know; see CallerOrganisation. */
    [[nodiscard]] CallerOrganisation callerOrganisation(const RoutingConfig &config) const;

    bool operator==(const Authentication &other) const;
};

/** Whether a request on @p route needs a key. */
bool needsKey(const RoutingConfig &config, const Route &route);
/** Whether the answer to a call about a job depends on the key that it has. */
bool needsKey(const RoutingConfig &config, const CallerCall &jobCall);
/** Authenticates a request on @p route by its key. A public route, or a configuration without organisations, needs no key. */
Authentication authenticate(const RoutingConfig &config, const Route &route, const CallerCall &call);
/** Authenticates a call about a job. A call without a key is not refused here, because the job may belong to no organisation. */
Authentication authenticateJobCall(const RoutingConfig &config, const CallerCall &call);

} // namespace Bergamotramp
