#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include <absl/time/time.h>

namespace Bergamotramp {

/** One attempt of a call: where it was sent, and the response. */
struct CallAttempt {
    std::string host;
    absl::Time sent;
    absl::Time ended;
    /** Arrival of the first token; infinite future when none came. */
    absl::Time firstToken = absl::InfiniteFuture();
    /** HTTP status; 0 when no response came. */
    int status = 0;
    /** Whether the response is complete: a stream up to its end marker "[DONE]", any other response with its entire body. */
    bool complete = false;
    /** The text that the model generated, or the response body of a plain service. */
    std::string text;
    /** "state" of an error response: "not_run", "run" or "unknown". Empty without an error response. */
    std::string executionState;
    std::string error;

    bool operator==(const CallAttempt &) const = default;
};

/** One request of a caller, with all attempts to send it. */
struct Call {
    std::string id;
    /** Label of the "call" statement that made the call; "line-N" when it has none. */
    std::string group;
    std::string service;
    bool plain = false;
    bool idempotent = true;
    std::string key;
    std::string prompt;
    std::int64_t tokens = 0;
    std::vector<CallAttempt> attempts;
    bool ended = false;

    bool operator==(const Call &) const = default;

    /** Whether the last attempt got a complete response with status 200. */
    [[nodiscard]] bool completed() const;
    /** Time from sending the first attempt to the first token of the last attempt; infinite when no token came. */
    [[nodiscard]] absl::Duration timeToFirstToken() const;
    /** Execution state that the last attempt reported; empty when it reported none. */
    [[nodiscard]] std::string lastExecutionState() const;
};

/** Records the statements, calls and attempts of one scenario, as calls and as a timeline for reports. Thread-safe. */
class CallHistory
{
public:
    /** Adds a line to the timeline that every report shows. */
    void recordEvent(const std::string &text);
    void recordStart(const Call &call);
    void recordAttempt(const std::string &id, const CallAttempt &attempt);
    void recordEnd(const std::string &id);
    [[nodiscard]] std::vector<Call> calls() const;
    /** Calls whose group is @p label. */
    [[nodiscard]] std::vector<Call> callsInGroup(const std::string &label) const;
    /** The timeline lines that contain @p word between spaces, and all lines that every report shows. */
    [[nodiscard]] std::vector<std::string> linesMentioning(const std::string &word) const;

private:
    struct Line {
        absl::Time time;
        std::string text;
        /** Whether every report shows the line, as it does for statements. */
        bool alwaysReported = false;
    };

    void add(const std::string &text, bool alwaysReported);

    mutable std::mutex mutex;
    absl::Time startTime = absl::InfinitePast();
    std::vector<Line> lines;
    std::map<std::string, Call> callsById;
};

} // namespace Bergamotramp
