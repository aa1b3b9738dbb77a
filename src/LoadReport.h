#pragma once

#include <string>

#include <nlohmann/json.hpp>

#include "LoadRunner.h"

namespace Bergamotramp {

/** Summary of a load: percentiles, goodput and error counts in total, by stream, and by short and straggler requests. */
nlohmann::json summariseLoad(const LoadPlan &plan, const LoadObservation &observation);
/** Items that the observed job completed per second, between the end of the warm-up and the last sample; 0 with fewer than two samples. */
double itemsPerSecond(const JobObservation &job, absl::Duration warmup);
/** The records as CSV with a header line. */
std::string recordsCsv(const LoadPlan &plan, const LoadObservation &observation);
/** The summary as text for people. */
std::string summaryText(const nlohmann::json &summary);

} // namespace Bergamotramp
