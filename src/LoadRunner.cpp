#include "LoadRunner.h"

#include <algorithm>
#include <atomic>
#include <thread>

#include <absl/time/clock.h>

#include "JobObserver.h"

namespace Bergamotramp {

namespace {

// Requests that are still waiting for a thread this long after the plan's duration are recorded as not sent.
constexpr absl::Duration sendWindowAfterEnd = absl::Seconds(5);

/** Worker threads of one load. Each takes the next planned request from a shared list. */
class LoadWorkers
{
public:
    LoadWorkers(const LoadPlan &plan, absl::Time start, const HostClient::AddressSource &entries, const ExpectedText &expectedText)
        : plan(plan), start(start), entries(entries), requests(planRequests(plan)), records(this->requests.size()), sender(plan, start, expectedText)
    {
    }

    std::vector<LoadRecord> run()
    {
        const auto count = std::min(static_cast<std::size_t>(this->plan.concurrency), this->requests.size());
        std::vector<std::thread> threads;
        for (std::size_t index = 0; index < count; ++index) {
            threads.emplace_back([this] { this->runWorker(); });
        }
        for (std::thread &thread : threads) {
            thread.join();
        }
        return std::move(this->records);
    }

private:
    void runWorker()
    {
        for (std::size_t index = this->nextRequest++; index < this->requests.size(); index = this->nextRequest++) {
            const PlannedRequest &request = this->requests[index];
            absl::SleepFor(this->start + request.intendedTime - absl::Now());
            this->records[index] = this->send(index, request);
        }
    }

    LoadRecord send(std::size_t index, const PlannedRequest &request)
    {
        if (absl::Now() > this->start + this->plan.duration + sendWindowAfterEnd) {
            return this->sender.makeNotSentRecord(request, "generator_saturated");
        }
        try {
            const std::vector<std::string> hosts = this->entries();
            return this->sender.send(request, hosts[index % hosts.size()]);
        } catch (const CliError &) {
            return this->sender.makeNotSentRecord(request, "no_entry");
        } catch (const std::exception &) {
            // The call may have failed before or after the request was sent, so its outcome is unknown.
            LoadRecord record = this->sender.makeNotSentRecord(request, "generator_error");
            record.state = "unknown";
            return record;
        }
    }

    const LoadPlan &plan;
    absl::Time start;
    const HostClient::AddressSource &entries;
    std::vector<PlannedRequest> requests;
    std::vector<LoadRecord> records;
    LoadRequestSender sender;
    std::atomic<std::size_t> nextRequest{0};
};

} // namespace

LoadObservation runLoad(const LoadPlan &plan, const HostClient::AddressSource &entries, const ExpectedText &expectedText)
{
    // Reads the entry list and generates the job's input before the load starts, so that neither delays the first requests.
    entries();
    std::optional<JobObserver> observer;
    if (plan.job) {
        observer.emplace(plan, entries);
    }
    const absl::Time start = absl::Now();
    LoadWorkers workers(plan, start, entries, expectedText);
    if (observer) {
        observer->start(start);
    }
    LoadObservation observation;
    observation.records = workers.run();
    if (observer) {
        observation.job = observer->finish();
    }
    return observation;
}

} // namespace Bergamotramp
