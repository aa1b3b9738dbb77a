#pragma once

#include <stdexcept>
#include <string>

#include <absl/time/time.h>
#include <nlohmann/json.hpp>

namespace Bergamotramp {

/** What is known of whether a request was run. */
enum class RunState {
    /** No attempt of the request, under its key if it has one, has left any host. */
    NotRun,
    Run,
    Unknown,
};

/** An error as the caller sees it. */
struct CallerProblem {
    /** HTTP status. */
    int status = 500;
    /** Stable name of the error. */
    std::string code;
    std::string message;
    RunState state = RunState::NotRun;
    /** Zero when a retry can't help. */
    absl::Duration retryAfter = absl::ZeroDuration();

    bool operator==(const CallerProblem &) const = default;

    [[nodiscard]] nlohmann::json toJson() const;
};

/** Ends the handling of a caller's request with a typed error. */
class CallerError : public std::runtime_error
{
public:
    explicit CallerError(CallerProblem problem);

    [[nodiscard]] const CallerProblem &problem() const;

private:
    CallerProblem details;
};

/** "not_run", "run" or "unknown". */
std::string runStateName(RunState state);

} // namespace Bergamotramp
