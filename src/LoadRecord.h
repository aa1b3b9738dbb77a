#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Bergamotramp {

/** What became of one request of a load. Times are milliseconds after the intended time, not after the sending. */
struct LoadRecord {
    std::size_t stream = 0;
    std::int64_t number = 0;
    bool straggler = false;
    /** Intended time in milliseconds from the start of the load. */
    double intendedMs = 0;
    /** How late the generator itself sent the request. */
    double sendDelayMs = 0;
    /** Negative when no token arrived. */
    double firstTokenMs = -1;
    /** Time until the end, whatever the end was. */
    double endedMs = 0;
    /** Times between the arrivals of successive tokens. */
    std::vector<float> tokenGapsMs;
    std::int64_t tokens = 0;
    std::string entry;
    /** HTTP status, 0 without an answer. */
    int status = 0;
    /** Whether the whole answer arrived and, as far as it was checked, belongs to this request. */
    bool answered = false;
    /** Whether the answer arrived within the stream's deadline. */
    bool withinDeadline = false;
    /** Error code; empty when answered. */
    std::string code;
    /** "not_run", "run" or "unknown". */
    std::string state;

    bool operator==(const LoadRecord &) const = default;
};

/** Progress of the observed batch job. */
struct JobSample {
    /** Seconds from the start of the load. */
    double atSeconds = 0;
    std::int64_t completed = 0;
    std::int64_t failed = 0;

    bool operator==(const JobSample &) const = default;
};

/** What became of the observed batch job. */
struct JobObservation {
    std::string id;
    std::string finalState;
    /** Why the job could not be submitted or cancelled; empty when it could. */
    std::string problem;
    std::vector<JobSample> samples;

    bool operator==(const JobObservation &) const = default;
};

} // namespace Bergamotramp
