#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include <absl/time/time.h>

namespace Bergamotramp {

/** What came back for one attempt of a call. */
struct CallAnswer {
    std::string host;
    absl::Time sent;
    absl::Time ended;
    /** Arrival of the first token; infinite future when none came. */
    absl::Time firstToken = absl::InfiniteFuture();
    /** HTTP status; 0 when no answer came. */
    int status = 0;
    /** Whether the answer ended as it should: the end marker of a stream, the whole body otherwise. */
    bool whole = false;
    /** The text of a model's answer, or the body of a plain service's. */
    std::string text;
    /** "not_run", "run" or "unknown" of an error answer. */
    std::string state;
    std::string error;

    bool operator==(const CallAnswer &) const = default;
};

/** One request of a caller with all its attempts. */
struct Call {
    std::string id;
    /** Label of the statement that made it. */
    std::string group;
    std::string service;
    bool plain = false;
    bool idempotent = true;
    std::string key;
    std::string prompt;
    std::int64_t tokens = 0;
    std::vector<CallAnswer> answers;
    bool ended = false;

    bool operator==(const Call &) const = default;

    /** Whether the last attempt brought a whole answer. */
    [[nodiscard]] bool completed() const;
    /** From the first attempt to the first token of the last one; infinite when none came. */
    [[nodiscard]] absl::Duration firstTokenAfter() const;
    /** State of the last error answer; empty when there was none. */
    [[nodiscard]] std::string state() const;
};

/** Calls, answers and faults of one scenario in the order in which they happened. Thread-safe. */
class CallHistory
{
public:
    /** Adds a line to the time line. */
    void note(const std::string &text);
    void begin(const Call &call);
    void answered(const std::string &id, const CallAnswer &answer);
    void end(const std::string &id);
    [[nodiscard]] std::vector<Call> calls() const;
    /** Calls of one group. */
    [[nodiscard]] std::vector<Call> group(const std::string &label) const;
    /** The lines of the time line that name @p word, and all lines of statements. */
    [[nodiscard]] std::vector<std::string> linesAbout(const std::string &word) const;

private:
    struct Line {
        absl::Time time;
        std::string text;
        /** Lines of statements are part of each report. */
        bool statement = false;
    };

    void add(const std::string &text, bool statement);

    mutable std::mutex mutex;
    absl::Time started = absl::InfinitePast();
    std::vector<Line> lines;
    std::map<std::string, Call> byId;
};

} // namespace Bergamotramp
