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
#include "JobTracker.h"
#include "ScenarioScript.h"

namespace Bergamotramp {

/** Runs one scenario: starts its processes, sends calls and jobs, injects faults and checks the guarantees at the end. */
class ScenarioRunner
{
public:
    ScenarioRunner(FleetPrograms programs, const std::string &folder);
    ~ScenarioRunner();
    ScenarioRunner(const ScenarioRunner &) = delete;
    ScenarioRunner &operator=(const ScenarioRunner &) = delete;

    /**
     * Runs the statements up to the first that fails, and after the last one checks the guarantees. Returns a report of the failures,
     * empty when there were none.
     */
    std::string run(const std::string &file, const std::vector<Statement> &statements);

private:
    /** Time-out of waits without one of their own, such as "wait-until"; "within" states its own. */
    static constexpr absl::Duration defaultWaitTimeout = absl::Seconds(90);

    using Handler = std::function<void(const Statement &)>;

    void addTopologyHandlers();
    void addTrafficHandlers();
    void addFaultHandlers();
    void addProcessHandlers();
    void addConditionHandlers();
    void call(const Statement &statement);
    void load(const Statement &statement);
    CallPlan makePlan(const Statement &statement, std::int64_t number);
    void submit(const Statement &statement);
    void publish(const Statement &statement);
    void slow(const Statement &statement);
    void waitUntil(const std::string &expression, absl::Duration timeout = defaultWaitTimeout);
    void drain(const Statement &statement);

    /** Evaluates "A OP B and C OP D ..."; @p foundValues receives the compared values for messages. */
    bool evaluate(const std::string &expression, std::string &foundValues);
    bool compare(const std::string &left, const std::string &operation, const std::string &right, std::string &foundValues);
    /** Value of the right side of a comparison: a path, a remembered value or a literal, optionally after a factor and "*". */
    nlohmann::json expectedValue(const std::string &word);
    /** Value of a path such as "h1.ready" or "job1.state": a name and, after the first dot, one of its fields. */
    nlohmann::json valueOf(const std::string &path);
    nlohmann::json valueOfGroup(const std::vector<Call> &calls, const std::string &field);
    /** The objective for the time to the first token, online.firstTokenMs of the service. */
    absl::Duration firstTokenObjective(const std::string &service);
    nlohmann::json valueOfJob(const Job &job, const std::string &field);
    nlohmann::json valueOfMember(FleetMember &member, const std::string &field);
    nlohmann::json sumOfEngines(const std::string &counter);
    static nlohmann::json countMembersInState(const FleetMember &host, const std::string &state);
    nlohmann::json valueOfHost(FleetMember &host, const std::string &field);

    std::string checkAndReport();
    /** Timeline lines of the first calls that got no complete response. */
    std::string describeIncompleteCalls();
    std::string hostLogs();

    std::map<std::string, Handler> handlers;
    Fleet fleet;
    CallHistory history;
    JobTracker jobs;
    std::unique_ptr<Caller> caller;
    /** Status and generation of each labelled publication. */
    std::map<std::string, nlohmann::json> publications;
    /** Totals of each load by its label. */
    std::map<std::string, nlohmann::json> loads;
    /** Values stored by "remember" statements. */
    std::map<std::string, nlohmann::json> remembered;
    /** Greatest generation that a publication returned. */
    std::int64_t publishedGeneration = 0;
    /** Greatest generation that each host showed, by the host's name and the number of its start. */
    std::map<std::string, std::int64_t> greatestGenerations;
};

} // namespace Bergamotramp
