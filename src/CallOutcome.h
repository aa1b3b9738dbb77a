#pragma once

namespace Bergamotramp {

/** How a call of an upstream ended. */
enum class CallOutcome {
    /** The whole response arrived. */
    Completed,
    /** No byte left this host. */
    NotSent,
    /** The connection broke before the response was complete; the upstream may have run the request. */
    Broken,
    /** Nothing arrived for the silence timeout; the upstream may have run the request. */
    Silent,
    /** Cancelled by this host. */
    Cancelled,
};

} // namespace Bergamotramp
