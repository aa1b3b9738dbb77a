#pragma once

#include <string>

#include <nlohmann/json.hpp>

#include "LoadRunner.h"

namespace Bergamotramp {

/** Summary of a load: percentiles, goodput and error counts in total and by stream, each also split into short and straggler requests. */
nlohmann::json summariseLoad(const LoadPlan &plan, const LoadObservation &observation);
/** Items that the job completed per second between the first sample after the warm-up and the last sample; 0 with fewer than two such samples. */
double itemsPerSecond(const JobObservation &job, absl::Duration warmup);
/** The records as CSV with a header line. */
std::string formatRecordsCsv(const LoadPlan &plan, const LoadObservation &observation);
/** The summary as human-readable text. */
std::string formatSummary(const nlohmann::json &summary);

} // namespace Bergamotramp
