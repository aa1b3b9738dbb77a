#pragma once

namespace Bergamotramp {

/** How a call to an upstream ended. */
enum class CallOutcome {
    /** The complete response arrived. */
    Completed,
    /** No byte left this host. */
    NotSent,
    /** The connection broke before the response was complete; the upstream may have run the request. */
    ConnectionLost,
    /** No byte arrived for the duration of the silence timeout; the upstream may have run the request. */
    TimedOut,
    /** Cancelled by this host. */
    Cancelled,
};

} // namespace Bergamotramp
