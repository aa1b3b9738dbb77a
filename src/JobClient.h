#pragma once

#include <cstdint>
#include <string>

#include <nlohmann/json.hpp>

#include "HostClient.h"

namespace Bergamotramp {

/** Progress of a batch job. */
struct JobReport {
    std::string id;
    std::string state;
    std::int64_t total = 0;
    std::int64_t completed = 0;
    std::int64_t failed = 0;

    /** Whether the job is in a final state. */
    [[nodiscard]] bool ended() const;
    /** Parses a job in a response of the caller interface. Throws CliError when it has no id or state. */
    static JobReport fromJson(const nlohmann::json &json);
    [[nodiscard]] nlohmann::json toJson() const;

    bool operator==(const JobReport &) const = default;
};

struct JobSubmission {
    std::string service;
    std::string key;
    /** One JSON object {"custom_id", "body"} per line. */
    std::string body;
    /** Seconds until the job is due; 0 for the default of the service. */
    std::int64_t dueSeconds = 0;
};

/** Batch jobs of one organisation, through the caller interface. Every call throws CliError on failure. */
class JobClient
{
public:
    JobClient(HostClient &hosts, std::string organisation);

    /** The idempotency key makes a retry safe: when the outcome is unknown, the job is submitted to another entry. */
    JobReport submit(const JobSubmission &submission);
    JobReport status(const std::string &id);
    JobReport cancel(const std::string &id);
    /** The results, one JSON object per line. */
    std::string results(const std::string &id);
    nlohmann::json list();

private:
    UpstreamCall buildCall(const std::string &method, const std::string &path) const;

    HostClient &hosts;
    std::string organisation;
};

/** Returns one message per invalid line of a job file, at most @p limit; empty when the file can be submitted. */
std::vector<std::string> validateJobFile(const std::string &text, std::size_t limit);

} // namespace Bergamotramp
