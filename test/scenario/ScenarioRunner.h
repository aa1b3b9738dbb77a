#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "CallHistory.h"
#include "Caller.h"
#include "Fleet.h"
#include "GuaranteeCheck.h"
#include "JobBook.h"
#include "ScenarioScript.h"

namespace Bergamotramp {

/** Runs one scenario with real processes. */
class ScenarioRunner
{
public:
    ScenarioRunner(FleetPrograms programs, const std::string &folder);
    ~ScenarioRunner();
    ScenarioRunner(const ScenarioRunner &) = delete;
    ScenarioRunner &operator=(const ScenarioRunner &) = delete;

    /** Runs all statements and the final check. Returns the report of what failed, empty when all held. */
    std::string run(const std::string &file, const std::vector<Statement> &statements);

private:
    /** A wait without a bound of its own ends with an error after this long. */
    static constexpr absl::Duration waitLimit = absl::Seconds(90);

    using Handler = std::function<void(const Statement &)>;

    void addTopology();
    void addTraffic();
    void addFaults();
    void addProcesses();
    void addVerdicts();
    void call(const Statement &statement);
    void load(const Statement &statement);
    CallPlan planOf(const Statement &statement, std::int64_t number);
    void submit(const Statement &statement);
    void publish(const Statement &statement);
    void slow(const Statement &statement);
    void waitUntil(const std::string &expression, absl::Duration limit = waitLimit);
    void drain(const Statement &statement);

    /** Evaluates "A OP B and C OP D ..."; @p shown gets the values that were compared. */
    bool holds(const std::string &expression, std::string &shown);
    bool compare(const std::string &left, const std::string &operation, const std::string &right, std::string &shown);
    /** Value of the right side of a comparison: a path, a remembered value or a literal, with a factor before it or not. */
    nlohmann::json expectedValue(const std::string &word);
    nlohmann::json valueOf(const std::string &path);
    nlohmann::json valueOfGroup(const std::vector<Call> &calls, const std::string &field);
    /** The objective to the first token that the service file states. */
    absl::Duration firstTokenObjective(const std::string &service);
    nlohmann::json valueOfJob(const Job &job, const std::string &field);
    nlohmann::json valueOfMember(Member &member, const std::string &field);
    nlohmann::json sumOfEngines(const std::string &counter);
    static nlohmann::json membersOf(const Member &host, const std::string &state);
    nlohmann::json valueOfHost(Member &host, const std::string &field);

    std::string finalReport();
    /** What became of some calls that brought no whole answer. */
    std::string incompleteCalls();
    std::string logs();

    std::map<std::string, Handler> handlers;
    Fleet fleet;
    CallHistory history;
    JobBook jobs;
    std::unique_ptr<Caller> caller;
    /** Answers of labelled publications. */
    std::map<std::string, nlohmann::json> publications;
    /** Summaries of loads, in total. */
    std::map<std::string, nlohmann::json> loads;
    /** Values kept by "remember". */
    std::map<std::string, nlohmann::json> remembered;
    std::int64_t generation = 0;
    /** Greatest generation seen of each run of a host. */
    std::map<std::string, std::int64_t> generationsSeen;
};

} // namespace Bergamotramp
