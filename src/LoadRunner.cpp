#include "LoadRunner.h"

#include <algorithm>
#include <atomic>
#include <thread>

#include <absl/time/clock.h>

#include "JobObserver.h"

namespace Bergamotramp {

namespace {

// Requests that no thread could send by this time after the end of the plan are recorded as not sent.
constexpr absl::Duration sendGrace = absl::Seconds(5);

/** The threads of one load, which share the list of planned requests. */
class LoadThreads
{
public:
    LoadThreads(const LoadPlan &plan, absl::Time start, const HostClient::AddressSource &entries, const ExpectedText &expectedText)
        : plan(plan), start(start), entries(entries), requests(planRequests(plan)), records(this->requests.size()), calls(plan, start, expectedText)
    {
    }

    std::vector<LoadRecord> run()
    {
        const auto count = std::min(static_cast<std::size_t>(this->plan.concurrency), this->requests.size());
        std::vector<std::thread> threads;
        for (std::size_t index = 0; index < count; ++index) {
            threads.emplace_back([this] { this->work(); });
        }
        for (std::thread &thread : threads) {
            thread.join();
        }
        return std::move(this->records);
    }

private:
    void work()
    {
        for (std::size_t index = this->next++; index < this->requests.size(); index = this->next++) {
            const PlannedRequest &request = this->requests[index];
            absl::SleepFor(this->start + request.at - absl::Now());
            this->records[index] = this->send(index, request);
        }
    }

    LoadRecord send(std::size_t index, const PlannedRequest &request)
    {
        if (absl::Now() > this->start + this->plan.duration + sendGrace) {
            return this->calls.notSent(request, "generator_saturated");
        }
        try {
            const std::vector<std::string> hosts = this->entries();
            return this->calls.run(request, hosts[index % hosts.size()]);
        } catch (const CliError &) {
            return this->calls.notSent(request, "no_entry");
        } catch (const std::exception &) {
            // Nothing is known of how far the call came.
            LoadRecord record = this->calls.notSent(request, "generator_error");
            record.state = "unknown";
            return record;
        }
    }

    const LoadPlan &plan;
    absl::Time start;
    const HostClient::AddressSource &entries;
    std::vector<PlannedRequest> requests;
    std::vector<LoadRecord> records;
    LoadCall calls;
    std::atomic<std::size_t> next{0};
};

} // namespace

LoadObservation runLoad(const LoadPlan &plan, const HostClient::AddressSource &entries, const ExpectedText &expectedText)
{
    // Reads the entries and draws the job before the clock starts.
    entries();
    std::optional<JobObserver> observer;
    if (plan.job) {
        observer.emplace(plan, entries);
    }
    const absl::Time start = absl::Now();
    LoadThreads threads(plan, start, entries, expectedText);
    if (observer) {
        observer->start(start);
    }
    LoadObservation observation;
    observation.records = threads.run();
    if (observer) {
        observation.job = observer->finish();
    }
    return observation;
}

} // namespace Bergamotramp
