#include "JobObserver.h"

#include <absl/time/clock.h>

#include "JobClient.h"

namespace Bergamotramp {

namespace {

constexpr absl::Duration samplePeriod = absl::Milliseconds(250);
constexpr absl::Duration connectTimeout = absl::Seconds(2);

} // namespace

JobObserver::JobObserver(const LoadPlan &plan, HostClient::AddressSource entries)
    : plan(plan), jobFile(makeJobFile(plan)), hosts(std::move(entries), connectTimeout)
{
}

JobObserver::~JobObserver()
{
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

void JobObserver::start(absl::Time loadStart)
{
    this->thread = std::thread([this, loadStart] {
        try {
            this->submitAndObserve(loadStart);
        } catch (const std::exception &error) {
            this->observation.problem = error.what();
        }
    });
}

JobObservation JobObserver::finish()
{
    this->thread.join();
    return this->observation;
}

void JobObserver::submitAndObserve(absl::Time loadStart)
{
    absl::SleepFor(loadStart + this->plan.job->submitAt - absl::Now());
    JobClient jobs(this->hosts, this->plan.job->organisation);
    const JobReport submitted = jobs.submit({this->plan.job->service, this->plan.runId + "-job", this->jobFile});
    this->observation.id = submitted.id;
    this->observation.finalState = submitted.state;
    this->sampleProgress(submitted.id, loadStart);
    if (this->plan.job->cancelAtEnd) {
        this->observation.finalState = jobs.cancel(submitted.id).state;
    }
}

void JobObserver::sampleProgress(const std::string &id, absl::Time loadStart)
{
    JobClient jobs(this->hosts, this->plan.job->organisation);
    const absl::Time end = loadStart + this->plan.duration;
    for (bool ended = false; !ended && absl::Now() < end;) {
        try {
            const JobReport status = jobs.status(id);
            this->observation.samples.push_back({absl::ToDoubleSeconds(absl::Now() - loadStart), status.completed, status.failed});
            this->observation.finalState = status.state;
            ended = status.ended();
        } catch (const CliError &) {
            // A failed call leaves a gap in the samples. The counts are cumulative, so the next sample covers the gap.
        }
        absl::SleepFor(samplePeriod);
    }
}

} // namespace Bergamotramp
