#pragma once

#include <string>
#include <thread>

#include "HostClient.h"
#include "LoadPlan.h"
#include "LoadRecord.h"

namespace Bergamotramp {

/** Submits the job of a plan at its time and samples its progress until the plan's duration is over. */
class JobObserver
{
public:
    /** @p plan and its job outlive the object. */
    JobObserver(const LoadPlan &plan, HostClient::AddressSource entries);
    ~JobObserver();
    JobObserver(const JobObserver &) = delete;
    JobObserver &operator=(const JobObserver &) = delete;

    void start(absl::Time loadStart);
    /** Waits for the end of the plan's duration. */
    JobObservation finish();

private:
    void observe(absl::Time loadStart);
    void sampleUntil(const std::string &id, absl::Time loadStart);

    const LoadPlan &plan;
    std::string lines;
    HostClient hosts;
    JobObservation observation;
    std::thread thread;
};

} // namespace Bergamotramp
