#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "CallHistory.h"
#include "Fleet.h"

namespace Bergamotramp {

/** One batch job as its caller knows it. */
struct Job {
    std::string label;
    std::string service;
    std::string key;
    std::int64_t items = 0;
    std::int64_t tokens = 0;
    /** The first items whose prompts can never succeed. */
    std::int64_t failing = 0;
    /** Whether a submission was answered with 200, and the job's id then. */
    bool acknowledged = false;
    std::string id;
    bool cancelled = false;
    /** Result lines at the time when the cancellation was acknowledged. */
    std::size_t linesAtCancel = 0;
    /** Status and state of the last answer to a submission. */
    int status = 0;
    std::string state;

    bool operator==(const Job &) const = default;

    [[nodiscard]] std::string prompt(std::int64_t item) const;
    /** The JSONL body. */
    [[nodiscard]] std::string body() const;
};

/** Submits batch jobs and reads them back through whichever host answers. */
class JobBook
{
public:
    JobBook(Fleet &fleet, CallHistory &history);

    /** Sends a job, again or for the first time, to @p host; returns whether it was acknowledged. */
    bool submit(Job &job, const std::string &host);
    Job &add(Job job);
    Job &find(const std::string &label);
    [[nodiscard]] bool has(const std::string &label) const;
    [[nodiscard]] std::vector<Job> all() const;
    /** Whether the cancellation was acknowledged. */
    bool cancel(const std::string &label, const std::string &host);
    /** The status of an acknowledged job; null when no host answers. */
    nlohmann::json status(const Job &job);
    /** The result lines of an acknowledged job; nothing when no host answers. */
    std::optional<std::vector<nlohmann::json>> results(const Job &job);

private:
    std::string anyHost(const std::string &path, std::string &body);

    Fleet &fleet;
    CallHistory &history;
    std::map<std::string, Job> jobs;
};

} // namespace Bergamotramp
