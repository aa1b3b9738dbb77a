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

/** Batch callers: submit jobs until they are accepted, read the results at any host, and end some jobs. */
class SoakJobs
{
public:
    SoakJobs(EventLoop &loop, SoakFleet &fleet, SoakState &state, std::function<std::string()> pickAddress, std::uint64_t seed);
    /** Ends the calls under way, whose handlers hold their jobs. */
    ~SoakJobs();
    SoakJobs(const SoakJobs &) = delete;
    SoakJobs &operator=(const SoakJobs &) = delete;

    /** Reports jobs that have not finished although they should have. */
    void checkFinished() const;
    /** Whether every accepted job that was not ended is whole. */
    [[nodiscard]] bool allFinished() const;

private:
    struct Result {
        std::string item;
        std::string output;

        bool operator==(const Result &) const = default;
    };
    struct Job {
        std::string id;
        std::size_t items = 0;
        absl::Time accepted = absl::InfiniteFuture();
        bool ending = false;
        bool ended = false;
        std::map<std::size_t, Result> results;
        HttpCall call;
        std::string body;
        HttpHead head;
        LoopTimer timer;
        LoopTimer limit;
    };
    using Answer = std::function<void(int status, const nlohmann::json &body)>;

    void submitNext();
    void submit(const std::shared_ptr<Job> &job);
    void read(const std::shared_ptr<Job> &job);
    void take(const std::shared_ptr<Job> &job, std::size_t from, const nlohmann::json &page);
    void end(const std::shared_ptr<Job> &job);
    /** Sends one call of a job; status 0 when there is no answer. */
    void call(const std::shared_ptr<Job> &job, const HttpRequest &request, Answer done);
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
