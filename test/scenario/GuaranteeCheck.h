#pragma once

#include <string>
#include <vector>

#include "CallHistory.h"
#include "Fleet.h"
#include "JobBook.h"

namespace Bergamotramp {

/** A guarantee that a scenario found broken. */
struct Violation {
    std::string guarantee;
    /** Call id or job label. */
    std::string subject;
    std::string detail;

    bool operator==(const Violation &) const = default;
};

/** Compares the history of a scenario with what the stand-ins counted and what the hosts give back. */
class GuaranteeCheck
{
public:
    GuaranteeCheck(Fleet &fleet, JobBook &jobs, const CallHistory &history);

    /** Waits for jobs that are still running, within a generous limit. */
    std::vector<Violation> run();

private:
    void checkAnswers(const Call &call);
    void checkAnswer(const Call &call, const CallAnswer &answer);
    void checkNotRun(const Call &call);
    void checkPostings(const Call &call);
    void checkJob(const Job &job);
    void checkEnd(const Job &job);
    void checkResults(const Job &job, const std::vector<nlohmann::json> &lines);
    void checkItem(const Job &job, const nlohmann::json &line, std::int64_t item);
    std::uint64_t postings(const std::string &key);
    std::uint64_t runs(const std::string &prompt);
    void add(const std::string &guarantee, const std::string &subject, const std::string &detail);

    Fleet &fleet;
    JobBook &jobs;
    const CallHistory &history;
    std::vector<Violation> violations;
};

} // namespace Bergamotramp
