#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "ChildProcess.h"
#include "FaultProxy.h"
#include "ReservedPort.h"
#include "ScenarioScript.h"

namespace Bergamotramp {

/** Paths of the programs that a scenario starts. */
struct FleetPrograms {
    /** Path of bergamotrampd; the command-line program bergamotramp is in the same folder. */
    std::string daemon;
    /** Folder of the stand-in programs. */
    std::string standins;
};

enum class MemberKind {
    Platform,
    Engine,
    Plain,
    Host,
};

/** One process of a scenario. It keeps its addresses when it is restarted. */
struct FleetMember {
    MemberKind kind = MemberKind::Host;
    std::string name;
    std::string region;
    std::string dataCentre;
    std::vector<std::string> command;
    std::vector<ReservedPort> ports;
    /** Address of an upstream in the published services: its proxy route if its statement has the word via-proxy, else its own address. */
    std::string advertisedAddress;
    std::unique_ptr<ChildProcess> process;
    std::int64_t startCount = 0;
    /** Whether SIGSTOP has paused the process; SIGCONT resumes it. */
    bool frozen = false;

    /** Whether the process runs and is not paused. */
    [[nodiscard]] bool responsive() const;
    /** Address of an upstream or the platform, or of the caller interface of a host. */
    [[nodiscard]] std::string address() const;
    /** Address of the admin interface of a host. */
    [[nodiscard]] std::string adminAddress() const;
};

/** The processes, proxy routes and services of one scenario. Operations that fail throw ScenarioError. */
class Fleet
{
public:
    /** Writes the settings and logs of the processes to @p folder. */
    Fleet(FleetPrograms programs, std::string folder);

    void addPlatform(const Statement &statement);
    void addUpstream(const Statement &statement, MemberKind kind);
    void addHost(const Statement &statement);
    void addService(const Statement &statement);

    FleetMember &member(const std::string &name);
    [[nodiscard]] bool has(const std::string &name) const;
    /** Members of @p kind in the order of their names. */
    std::vector<FleetMember *> members(MemberKind kind);
    /** Kills the process of a member and starts it again at the same addresses. */
    void restart(const std::string &name);
    /** Pauses a process with SIGSTOP or resumes it with SIGCONT. */
    void setFrozen(const std::string &name, bool frozen);
    /** Sets the state of a host in the host list of the platform: "live" or "leaving"; "gone" removes the host from the list. */
    void setListedState(const std::string &name, const std::string &state);
    /** Applies @p change to the faults of all proxy routes of a member. */
    void setFaults(const std::string &name, const std::function<void(RouteFaults &)> &change);
    void freezeConnections(const std::string &name, RouteFreeze freeze);
    [[nodiscard]] const nlohmann::json &service(const std::string &name) const;
    /** Sends a POST request to the control interface of a member; throws unless the status is 200. */
    void control(const std::string &name, const std::string &path, const nlohmann::json &body);
    /** Runs "bergamotramp load" against the hosts of the statement and returns its JSON summary. */
    nlohmann::json runLoad(const Statement &statement);
    /** The last 15 lines of the log of a member, indented. */
    [[nodiscard]] std::string logTail(const FleetMember &member) const;

private:
    FleetMember &add(const Statement &statement, MemberKind kind, std::size_t ports);
    void start(FleetMember &member);
    std::string addProxyRoute(const std::string &name, const std::string &target);
    std::vector<std::string> proxyRoutesOf(const std::string &name) const;
    std::string peerAddress(const std::string &name);
    std::string writeSettings(const FleetMember &member, const Statement &statement);
    void sendHostList();

    FleetPrograms programs;
    std::string folder;
    FaultProxy proxy;
    std::vector<std::string> proxyRoutes;
    std::map<std::string, ReservedPort> peerPorts;
    std::map<std::string, FleetMember> membersByName;
    std::map<std::string, std::string> hostStates;
    std::map<std::string, nlohmann::json> services;
};

} // namespace Bergamotramp
