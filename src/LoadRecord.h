#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Bergamotramp {

/** Result of one request of a load. Times are in milliseconds from the intended send time, not from the actual one. */
struct LoadRecord {
    std::size_t stream = 0;
    std::int64_t number = 0;
    bool straggler = false;
    /** Intended send time in milliseconds from the start of the load. */
    double intendedMs = 0;
    /** Delay of the actual send time, caused by the load generator itself. */
    double sendDelayMs = 0;
    /** Time until the first token; negative when no token arrived. */
    double firstTokenMs = -1;
    /** Time until the request succeeded or failed. */
    double endedMs = 0;
    /** Times between the arrivals of successive tokens. */
    std::vector<float> tokenGapsMs;
    std::int64_t tokens = 0;
    std::string entry;
    /** HTTP status; 0 without a response. */
    int status = 0;
    /** Whether the complete response arrived and passed the checks of its stream, which detect a response to another request. */
    bool answered = false;
    /** Whether the complete response arrived within the stream's deadline. */
    bool withinDeadline = false;
    /** Error code; empty when answered. */
    std::string code;
    /** Whether the request was run: "not_run", "run" or "unknown". */
    std::string state;

    bool operator==(const LoadRecord &) const = default;
};

/** Progress of the load's batch job at one time. */
struct JobSample {
    /** Seconds from the start of the load. */
    double atSeconds = 0;
    std::int64_t completed = 0;
    std::int64_t failed = 0;

    bool operator==(const JobSample &) const = default;
};

/** Result of the load's batch job. */
struct JobObservation {
    std::string id;
    std::string finalState;
    /** Why the job could not be submitted or cancelled; empty on success. */
    std::string problem;
    std::vector<JobSample> samples;

    bool operator==(const JobObservation &) const = default;
};

} // namespace Bergamotramp
