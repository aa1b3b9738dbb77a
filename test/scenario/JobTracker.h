#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "CallHistory.h"
#include "Fleet.h"

namespace Bergamotramp {

/** A batch job from the view of its caller: what was submitted and how the hosts responded. */
struct Job {
    std::string label;
    std::string service;
    std::string key;
    std::int64_t items = 0;
    std::int64_t tokens = 0;
    /** How many items, counted from the first, have a prompt that always fails. */
    std::int64_t failingItems = 0;
    /** Whether a submission got status 200; @c id is set from then on. */
    bool acknowledged = false;
    std::string id;
    bool cancelled = false;
    /** Number of result lines right after the cancellation was acknowledged. */
    std::size_t resultLinesAtCancel = 0;
    /** HTTP status of the last submission, 0 without a response, and the "state" of its error. */
    int submissionStatus = 0;
    std::string submissionErrorState;

    bool operator==(const Job &) const = default;

    [[nodiscard]] std::string prompt(std::int64_t item) const;
    /** The body of the submission, one JSON object a line. */
    [[nodiscard]] std::string body() const;
};

/** Submits batch jobs and reads their status and results from the first host that responds. */
class JobTracker
{
public:
    JobTracker(Fleet &fleet, CallHistory &history);

    /** Submits a job to @p host, for the first time or again. Returns whether this submission was acknowledged. */
    bool submit(Job &job, const std::string &host);
    Job &add(Job job);
    Job &find(const std::string &label);
    [[nodiscard]] bool has(const std::string &label) const;
    [[nodiscard]] std::vector<Job> all() const;
    /** Cancels a job at @p host. Returns whether the cancellation was acknowledged. */
    bool cancel(const std::string &label, const std::string &host);
    /** The status of an acknowledged job; null when no host returns it. */
    nlohmann::json status(const Job &job);
    /** The result lines of an acknowledged job; nothing when no host returns them. */
    std::optional<std::vector<nlohmann::json>> results(const Job &job);

private:
    /** Gets @p path from the first host with status 200, stores the response in @p body and returns the host's name, or "". */
    std::string getFromAnyHost(const std::string &path, std::string &body);

    Fleet &fleet;
    CallHistory &history;
    std::map<std::string, Job> jobs;
};

} // namespace Bergamotramp
