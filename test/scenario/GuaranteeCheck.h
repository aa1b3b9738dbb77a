#pragma once

#include <string>
#include <vector>

#include "CallHistory.h"
#include "Fleet.h"
#include "JobTracker.h"

namespace Bergamotramp {

/** A guarantee of the system that was broken in a scenario. */
struct Violation {
    std::string guarantee;
    /** Id of the call or label of the job. */
    std::string subject;
    std::string detail;

    bool operator==(const Violation &) const = default;
};

/** Checks the guarantees: compares the recorded calls and jobs with the counts of the stand-ins and the job results of the hosts. */
class GuaranteeCheck
{
public:
    GuaranteeCheck(Fleet &fleet, JobTracker &jobs, const CallHistory &history);

    /** Runs all checks. Waits up to 120 s for each job that has not reached its final state. */
    std::vector<Violation> run();

private:
    void checkResponses(const Call &call);
    void checkResponse(const Call &call, const CallAttempt &attempt);
    void checkNotRun(const Call &call);
    void checkRunsPerKey(const Call &call);
    void checkJob(const Job &job);
    void checkFinalState(const Job &job);
    void checkResults(const Job &job, const std::vector<nlohmann::json> &lines);
    void checkItem(const Job &job, const nlohmann::json &line, std::int64_t item);
    /** How often all responsive plain services together ran a request with this idempotency key. */
    std::uint64_t runsWithKey(const std::string &key);
    /** How often all responsive engines together ran this prompt. */
    std::uint64_t runsOfPrompt(const std::string &prompt);
    void addViolation(const std::string &guarantee, const std::string &subject, const std::string &detail);

    Fleet &fleet;
    JobTracker &jobs;
    const CallHistory &history;
    std::vector<Violation> violations;
};

} // namespace Bergamotramp
