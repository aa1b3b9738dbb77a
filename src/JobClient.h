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

    /** Whether the job changes no more. */
    [[nodiscard]] bool ended() const;
    /** Reads the answer of the caller interface; throws CliError when it has no id or state. */
    static JobReport fromJson(const nlohmann::json &json);
    [[nodiscard]] nlohmann::json toJson() const;

    bool operator==(const JobReport &) const = default;
};

struct JobSubmission {
    std::string service;
    std::string key;
    /** One {"custom_id", "body"} a line. */
    std::string body;
    /** Time until the job is due; 0 for the service's own. */
    std::int64_t dueSeconds = 0;
};

/** Batch jobs of one organisation over the caller interface. Every call throws CliError. */
class JobClient
{
public:
    JobClient(HostClient &hosts, std::string organisation);

    /** The key makes the submission repeatable: on an unclear outcome it is sent to another entry. */
    JobReport submit(const JobSubmission &submission);
    JobReport status(const std::string &id);
    JobReport cancel(const std::string &id);
    /** The result lines. */
    std::string results(const std::string &id);
    nlohmann::json list();

private:
    UpstreamCall callOf(const std::string &method, const std::string &path) const;

    HostClient &hosts;
    std::string organisation;
};

/** Describes every broken line of a job file, at most @p limit; empty when the file can be submitted. */
std::vector<std::string> problemsOfJobFile(const std::string &text, std::size_t limit);

} // namespace Bergamotramp
