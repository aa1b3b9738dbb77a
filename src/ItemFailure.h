#pragma once

#include "BatchService.h"
#include "CallerError.h"

namespace Bergamotramp {

/** The result of a batch item whose attempt ended with this error. */
ItemResult itemFailure(const CallerProblem &problem);

} // namespace Bergamotramp
