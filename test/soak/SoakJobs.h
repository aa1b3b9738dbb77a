#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "HttpClient.h"
#include "SoakState.h"

namespace Bergamotramp {

/** Batch caller: submits jobs, repeats a submission until it is accepted, reads the results from random hosts, and cancels some jobs. */
class SoakJobs
{
public:
    SoakJobs(EventLoop &loop, SoakFleet &fleet, SoakState &state, std::function<std::string()> pickAddress, std::uint64_t seed);
    /** Cancels the open calls: the handlers of a call own its job, and the job owns the call, so neither would be freed. */
    ~SoakJobs();
    SoakJobs(const SoakJobs &) = delete;
    SoakJobs &operator=(const SoakJobs &) = delete;

    /** Reports accepted jobs that are neither complete nor cancelled; called at the end of the soak. */
    void checkFinished() const;
    /** Whether every accepted job has all its results or is cancelled. */
    [[nodiscard]] bool allFinished() const;

private:
    struct Result {
        std::string item;
        std::string output;

        bool operator==(const Result &) const = default;
    };
    struct Job {
        std::string id;
        std::size_t itemCount = 0;
        absl::Time acceptedAt = absl::InfiniteFuture();
        /** Whether the caller cancels the job once it has half of the results. */
        bool willBeCancelled = false;
        bool cancelled = false;
        /** By position. */
        std::map<std::size_t, Result> results;
        HttpCall call;
        std::string body;
        HttpHead head;
        LoopTimer timer;
        LoopTimer timeoutTimer;
    };
    using ResponseHandler = std::function<void(int status, const nlohmann::json &body)>;

    void submitNext();
    void submit(const std::shared_ptr<Job> &job);
    void readResults(const std::shared_ptr<Job> &job);
    void addResults(const std::shared_ptr<Job> &job, std::size_t from, const nlohmann::json &page);
    void cancelJob(const std::shared_ptr<Job> &job);
    /** Sends one call for a job; @p done gets status 0 if there is no response. */
    void sendCall(const std::shared_ptr<Job> &job, const HttpRequest &request, ResponseHandler done);
    [[nodiscard]] std::string itemId(const Job &job, std::size_t item) const;

    EventLoop &loop;
    SoakFleet &fleet;
    SoakState &state;
    std::function<std::string()> pickAddress;
    std::mt19937_64 random;
    HttpClient client;
    std::vector<std::shared_ptr<Job>> jobs;
    LoopTimer submitTimer;
};

} // namespace Bergamotramp
