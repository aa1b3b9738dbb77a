#pragma once

#include <string>
#include <thread>

#include "HostClient.h"
#include "LoadPlan.h"
#include "LoadRecord.h"

namespace Bergamotramp {

/** Submits the batch job of a load plan at its planned time and samples its progress until the job or the plan's duration ends. */
class JobObserver
{
public:
    /** @p plan must contain a job and outlive the object. */
    JobObserver(const LoadPlan &plan, HostClient::AddressSource entries);
    ~JobObserver();
    JobObserver(const JobObserver &) = delete;
    JobObserver &operator=(const JobObserver &) = delete;

    void start(absl::Time loadStart);
    /** Waits until the job or the plan's duration has ended. */
    JobObservation finish();

private:
    void submitAndObserve(absl::Time loadStart);
    void sampleProgress(const std::string &id, absl::Time loadStart);

    const LoadPlan &plan;
    std::string jobFile;
    HostClient hosts;
    JobObservation observation;
    std::thread thread;
};

} // namespace Bergamotramp
