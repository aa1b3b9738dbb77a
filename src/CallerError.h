#pragma once

#include <stdexcept>
#include <string>

#include <absl/time/time.h>
#include <nlohmann/json.hpp>

namespace Bergamotramp {

/** Whether a request has run, as far as it is known. */
enum class RunState {
    /** No host has sent an attempt of the request to an upstream, nor of another request with the same idempotency key. */
    NotRun,
    Run,
    Unknown,
};

/** An error as it is reported to the caller. */
struct CallerProblem {
    /** HTTP status. */
    int status = 500;
    /** Stable identifier of the error. */
    std::string code;
    std::string message;
    RunState state = RunState::NotRun;
    /** Time after which the caller may retry; zero when a retry can't help. */
    absl::Duration retryAfter = absl::ZeroDuration();

    bool operator==(const CallerProblem &) const = default;

    [[nodiscard]] nlohmann::json toJson() const;
};

/** Ends the handling of a caller's request with an error that is reported to the caller. */
class CallerError : public std::runtime_error
{
public:
    explicit CallerError(CallerProblem problem);

    [[nodiscard]] const CallerProblem &problem() const;

private:
    CallerProblem details;
};

/** Name of the state in error responses: "not_run", "run" or "unknown". */
std::string runStateName(RunState state);

} // namespace Bergamotramp
