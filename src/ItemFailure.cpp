#include "ItemFailure.h"

#include <algorithm>
#include <array>
#include <string_view>

#include <absl/strings/str_cat.h>

#include "SlotTypes.h"

namespace Bergamotramp {

namespace {

constexpr int statusConflict = 409;
constexpr int statusTooManyRequests = 429;
constexpr int statusServerError = 500;

// Errors that tell nothing about the item: no upstream answered it, none had a slot, or the journal could not be used. If they counted as
// failures, a few crashes of upstreams within seconds would end an accepted item as failed.
constexpr std::array<std::string_view, 9> interruptions = {
    "upstream_failed",
    "upstream_unreachable",
    "answer_interrupted",
    "journal_unavailable",
    "request_in_progress",
    SlotDenialCode::deadline,
    SlotDenialCode::overloaded,
    SlotDenialCode::noUpstream,
    SlotDenialCode::quarantined,
};

} // namespace

ItemResult itemFailure(const CallerProblem &problem)
{
    ItemResult result;
    result.retryable = problem.status == statusTooManyRequests || problem.status >= statusServerError || problem.status == statusConflict;
    result.error = absl::StrCat(problem.code, ": ", problem.message);
    result.interrupted = std::ranges::find(interruptions, problem.code) != interruptions.end();
    return result;
}

} // namespace Bergamotramp
