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

/** Where the built programs are. */
struct FleetPrograms {
    std::string daemon;
    /** Folder of the stand-ins. */
    std::string standins;
};

enum class MemberKind {
    Platform,
    Engine,
    Plain,
    Host,
};

/** One process of a scenario with its fixed addresses. */
struct Member {
    MemberKind kind = MemberKind::Host;
    std::string name;
    std::string region;
    std::string dataCentre;
    std::vector<std::string> command;
    std::vector<ReservedPort> ports;
    /** Address that others are told: the proxy's, where there is one. */
    std::string shownAddress;
    std::unique_ptr<ChildProcess> process;
    std::int64_t starts = 0;
    /** Stopped by a signal until it is thawed. */
    bool frozen = false;

    /** Whether the process can answer. */
    [[nodiscard]] bool responsive() const;
    /** Address of an upstream, of the platform or of a host's caller interface. */
    [[nodiscard]] std::string address() const;
    /** Address of a host's admin interface. */
    [[nodiscard]] std::string adminAddress() const;
};

/** The processes, links and services of one scenario. All its calls throw ScenarioError. */
class Fleet
{
public:
    /** Settings and logs go into @p folder. */
    Fleet(FleetPrograms programs, std::string folder);

    void addPlatform(const Statement &statement);
    void addUpstream(const Statement &statement, MemberKind kind);
    void addHost(const Statement &statement);
    void addService(const Statement &statement);

    Member &member(const std::string &name);
    [[nodiscard]] bool has(const std::string &name) const;
    /** Members of a kind, by name. */
    std::vector<Member *> members(MemberKind kind);
    /** Starts a member's process again at its addresses. */
    void restart(const std::string &name);
    /** Stops a process for a while (SIGSTOP) or lets it go on (SIGCONT). */
    void setFrozen(const std::string &name, bool frozen);
    /** Changes what the host list shows of a host: "live", "leaving" or "gone". */
    void showHost(const std::string &name, const std::string &state);
    /** Applies a change to all routes of a member. */
    void setFaults(const std::string &name, const std::function<void(RouteFaults &)> &change);
    void freezeConnections(const std::string &name, RouteFreeze freeze);
    [[nodiscard]] const nlohmann::json &service(const std::string &name) const;
    /** POSTs to a member's control interface. */
    void control(const std::string &name, const std::string &path, const nlohmann::json &body);
    /** Runs the load program against hosts and returns its summary. */
    nlohmann::json runLoad(const Statement &statement);
    /** The last lines of a member's log. */
    [[nodiscard]] std::string logTail(const Member &member) const;

private:
    Member &add(const Statement &statement, MemberKind kind, std::size_t ports);
    void start(Member &member);
    std::string route(const std::string &name, const std::string &target);
    std::vector<std::string> routesOf(const std::string &name) const;
    std::string peerAddress(const std::string &name);
    std::string writeSettings(const Member &member, const Statement &statement);
    void sendHostList();

    FleetPrograms programs;
    std::string folder;
    FaultProxy proxy;
    std::vector<std::string> routes;
    std::map<std::string, ReservedPort> peerPorts;
    std::map<std::string, Member> byName;
    std::map<std::string, std::string> hostStates;
    std::map<std::string, nlohmann::json> services;
};

} // namespace Bergamotramp
