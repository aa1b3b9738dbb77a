#include "CallerError.h"

namespace Bergamotramp {

nlohmann::json CallerProblem::toJson() const
{
    nlohmann::json error = {{"code", this->code}, {"message", this->message}, {"state", runStateName(this->state)}};
    if (this->retryAfter > absl::ZeroDuration()) {
        error["retry_after_ms"] = absl::ToInt64Milliseconds(this->retryAfter);
    }
    return {{"error", error}};
}

CallerError::CallerError(CallerProblem problem) : std::runtime_error(problem.message), details(std::move(problem))
{
}

const CallerProblem &CallerError::problem() const
{
    return this->details;
}

std::string runStateName(RunState state)
{
    switch (state) {
    case RunState::NotRun:
        return "not_run";
    case RunState::Run:
        return "run";
    case RunState::Unknown:
        break;
    }
    return "unknown";
}

} // namespace Bergamotramp
