#include "Fleet.h"

#include <algorithm>
#include <csignal>
#include <deque>
#include <fstream>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>

#include "ScenarioHttp.h"

namespace Bergamotramp {

namespace {

constexpr absl::Duration startTimeout = absl::Seconds(60);
constexpr absl::Duration loadTimeout = absl::Seconds(60);
constexpr std::size_t logTailLines = 15;
constexpr std::size_t portsPerHost = 2;

bool isLocationOption(const std::string &key)
{
    return key == "region" || key == "dc";
}

// The options of the statement, except for the location, are passed on as options of the stand-in program.
void addOptions(FleetMember &member, const Statement &statement)
{
    for (const auto &[key, value] : statement.options) {
        if (!isLocationOption(key)) {
            member.command.push_back("--" + key);
            member.command.push_back(value);
        }
    }
    if (statement.flag("honour-fencing")) {
        member.command.emplace_back("--honour-fencing");
    }
}

nlohmann::json optionValue(const std::string &text)
{
    std::int64_t number = 0;
    return absl::SimpleAtoi(text, &number) ? nlohmann::json(number) : nlohmann::json(text);
}

/** Parses a list of PATH:yes or PATH:no; "yes" marks the path as idempotent. */
nlohmann::json parseServiceRoutes(const std::string &text)
{
    nlohmann::json routes = nlohmann::json::array();
    for (const std::string &route : splitList(text, ',')) {
        const std::size_t colon = route.find(':');
        routes.push_back({{"path", route.substr(0, colon)}, {"idempotent", colon != std::string::npos && route.substr(colon + 1) == "yes"}});
    }
    return routes;
}

} // namespace

std::string FleetMember::address() const
{
    return this->ports.at(0).address();
}

std::string FleetMember::adminAddress() const
{
    return this->ports.at(1).address();
}

bool FleetMember::responsive() const
{
    return this->process && this->process->alive() && !this->frozen;
}

Fleet::Fleet(FleetPrograms programs, std::string folder) : programs(std::move(programs)), folder(std::move(folder))
{
}

FleetMember &Fleet::add(const Statement &statement, MemberKind kind, std::size_t ports)
{
    const std::string name = kind == MemberKind::Platform ? "platform" : statement.word(0);
    if (this->has(name)) {
        throw ScenarioError(absl::StrCat(name, ": a process with this name exists already"));
    }
    FleetMember &member = this->membersByName[name];
    member.kind = kind;
    member.name = name;
    member.region = statement.option("region", "nordeste");
    member.dataCentre = statement.option("dc", "recife-a");
    for (std::size_t index = 0; index < ports; ++index) {
        member.ports.emplace_back();
    }
    member.advertisedAddress = member.address();
    return member;
}

void Fleet::addPlatform(const Statement &statement)
{
    FleetMember &member = this->add(statement, MemberKind::Platform, 1);
    const std::string port = member.address().substr(member.address().rfind(':') + 1);
    member.command = {this->programs.standins + "/standin-platform", "--port", port, "--file", this->folder + "/platform.objects"};
    addOptions(member, statement);
    this->start(member);
}

void Fleet::addUpstream(const Statement &statement, MemberKind kind)
{
    FleetMember &member = this->add(statement, kind, 1);
    const std::string port = member.address().substr(member.address().rfind(':') + 1);
    member.command = {this->programs.standins + (kind == MemberKind::Engine ? "/standin-engine" : "/standin-plain"), "--port", port};
    addOptions(member, statement);
    if (statement.flag("via-proxy")) {
        member.advertisedAddress = this->addProxyRoute(member.name, member.address());
    }
    this->start(member);
}

void Fleet::addHost(const Statement &statement)
{
    FleetMember &member = this->add(statement, MemberKind::Host, portsPerHost);
    member.command = {this->programs.daemon, "--settings", this->writeSettings(member, statement)};
    this->setListedState(member.name, "live");
    this->start(member);
}

void Fleet::addService(const Statement &statement)
{
    nlohmann::json service = {{"name", statement.word(0)}, {"kind", statement.option("kind", "model")}};
    for (const std::string &name : splitList(statement.option("upstreams", ""), ',')) {
        const FleetMember &upstream = this->member(name);
        service["upstreams"][upstream.region + "/" + upstream.dataCentre].push_back(
            {{"name", name}, {"address", upstream.advertisedAddress}, {"leaving", statement.option("leaving", "") == name}});
    }
    if (statement.options.contains("routes")) {
        service["routes"] = parseServiceRoutes(statement.option("routes", ""));
    }
    for (const auto &[key, value] : statement.options) {
        // A dot separates the keys of nested objects, for example online.deadlineMs=5000.
        if (key != "kind" && key != "upstreams" && key != "routes" && key != "leaving") {
            service[nlohmann::json::json_pointer("/" + absl::StrReplaceAll(key, {{".", "/"}}))] = optionValue(value);
        }
    }
    this->services[statement.word(0)] = service;
}

std::string Fleet::writeSettings(const FleetMember &member, const Statement &statement)
{
    std::string store = this->member("platform").address();
    if (statement.flag("via-proxy")) {
        store = this->addProxyRoute(member.name + "-store", store);
    }
    nlohmann::json settings = {{"name", member.name},
                               {"region", member.region},
                               {"dataCentre", member.dataCentre},
                               {"callerAddress", member.address()},
                               {"peerAddress", this->peerAddress(member.name)},
                               {"adminAddress", member.adminAddress()},
                               {"storeAddress", store},
                               {"storeTimeoutMs", 1000},
                               {"entryTimeToLiveMs", 1000},
                               {"membershipPeriodMs", 200},
                               {"eventLog", this->folder + "/" + member.name + ".events"}};
    for (const std::string &peer : splitList(statement.option("links", ""), ',')) {
        settings["peerRoutes"][this->peerAddress(peer)] = this->addProxyRoute(member.name + "-" + peer, this->peerAddress(peer));
    }
    for (const auto &[key, value] : statement.options) {
        if (!isLocationOption(key) && key != "links") {
            settings[nlohmann::json::json_pointer("/" + absl::StrReplaceAll(key, {{".", "/"}}))] = optionValue(value);
        }
    }
    std::string file = this->folder + "/" + member.name + ".json";
    std::ofstream(file) << settings.dump(2) << '\n';
    return file;
}

// Reserves the port at the first use of the name, so that hosts can have links to a host that is added later.
std::string Fleet::peerAddress(const std::string &name)
{
    return this->peerPorts[name].address();
}

void Fleet::start(FleetMember &member)
{
    ++member.startCount;
    const std::string log = absl::StrCat(this->folder, "/", member.name, ".", member.startCount, ".log");
    member.process = std::make_unique<ChildProcess>(member.command, log);
    if (!member.process->waitForLine("listening ", startTimeout)) {
        throw ScenarioError(absl::StrCat(member.name, " did not report that it listens within 60 s, or it ended:\n", this->logTail(member)));
    }
}

FleetMember &Fleet::member(const std::string &name)
{
    const auto found = this->membersByName.find(name);
    if (found == this->membersByName.end()) {
        throw ScenarioError(absl::StrCat("no process is named ", name));
    }
    return found->second;
}

bool Fleet::has(const std::string &name) const
{
    return this->membersByName.contains(name);
}

std::vector<FleetMember *> Fleet::members(MemberKind kind)
{
    std::vector<FleetMember *> result;
    for (auto &[name, member] : this->membersByName) {
        if (member.kind == kind) {
            result.push_back(&member);
        }
    }
    return result;
}

void Fleet::restart(const std::string &name)
{
    FleetMember &member = this->member(name);
    member.process->kill();
    member.frozen = false;
    this->start(member);
}

void Fleet::setFrozen(const std::string &name, bool frozen)
{
    FleetMember &member = this->member(name);
    member.process->sendSignal(frozen ? SIGSTOP : SIGCONT);
    member.frozen = frozen;
}

void Fleet::setListedState(const std::string &name, const std::string &state)
{
    this->hostStates[this->member(name).name] = state;
    this->sendHostList();
}

void Fleet::sendHostList()
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto &[name, state] : this->hostStates) {
        const FleetMember &host = this->member(name);
        if (state != "gone") {
            list.push_back({{"name", name},
                            {"region", host.region},
                            {"dataCentre", host.dataCentre},
                            {"callerAddress", host.address()},
                            {"peerAddress", this->peerAddress(name)},
                            {"adminAddress", host.adminAddress()},
                            {"state", state}});
        }
    }
    const std::optional<ControlResponse> response = sendControlRequest("PUT", this->member("platform").address(), "/control/hosts", list.dump());
    if (!response || response->status != 200) {
        throw ScenarioError("the platform did not accept the host list");
    }
}

std::string Fleet::addProxyRoute(const std::string &name, const std::string &target)
{
    this->proxyRoutes.push_back(name);
    return this->proxy.addRoute(name, target);
}

std::vector<std::string> Fleet::proxyRoutesOf(const std::string &name) const
{
    std::vector<std::string> found;
    std::copy_if(this->proxyRoutes.begin(), this->proxyRoutes.end(), std::back_inserter(found), [&name](const std::string &route) {
        return route == name || route.starts_with(name + "-");
    });
    if (found.empty()) {
        throw ScenarioError(absl::StrCat(name, " has no proxy route; add the word via-proxy to its statement"));
    }
    return found;
}

void Fleet::setFaults(const std::string &name, const std::function<void(RouteFaults &)> &change)
{
    for (const std::string &route : this->proxyRoutesOf(name)) {
        RouteFaults faults = this->proxy.faults(route);
        change(faults);
        this->proxy.setFaults(route, faults);
    }
}

void Fleet::freezeConnections(const std::string &name, RouteFreeze freeze)
{
    for (const std::string &route : this->proxyRoutesOf(name)) {
        this->proxy.freeze(route, freeze);
    }
}

const nlohmann::json &Fleet::service(const std::string &name) const
{
    const auto found = this->services.find(name);
    if (found == this->services.end()) {
        throw ScenarioError(absl::StrCat("no service is named ", name));
    }
    return found->second;
}

void Fleet::control(const std::string &name, const std::string &path, const nlohmann::json &body)
{
    const std::optional<ControlResponse> response = sendControlRequest("POST", this->member(name).address(), path, body.dump());
    if (!response || response->status != 200) {
        throw ScenarioError(absl::StrCat(name, " did not accept ", body.dump(), " at ", path));
    }
}

nlohmann::json Fleet::runLoad(const Statement &statement)
{
    const std::string duration = statement.option("seconds", "1");
    const std::string shape = absl::StrCat("service=",
                                           statement.option("service", ""),
                                           ",ratePerSecond=",
                                           statement.option("rate", "1"),
                                           ",maxTokens=",
                                           statement.option("tokens", "10"),
                                           ",deadlineMs=",
                                           statement.option("deadline-ms", "1000"));
    const std::string program = this->programs.daemon.substr(0, this->programs.daemon.rfind('/') + 1) + "bergamotramp";
    std::vector<std::string> command{program, "load", "--output", "json", "--direct", "--verify-text", "--duration", duration, "--stream", shape};
    command.insert(command.end(), {"--concurrency", statement.option("concurrency", "64"), "--seed", statement.option("seed", "1")});
    for (const std::string &host : splitList(statement.word(0), ',')) {
        command.insert(command.end(), {"--entry", this->member(host).address()});
    }
    ChildProcess process(command, absl::StrCat(this->folder, "/load.", statement.line, ".log"));
    const std::optional<std::string> summary = process.waitForLine("{", loadTimeout);
    if (!summary) {
        throw ScenarioError("the load program printed no summary");
    }
    return nlohmann::json::parse(*summary);
}

std::string Fleet::logTail(const FleetMember &member) const
{
    std::deque<std::string> lines;
    std::ifstream stream(member.process ? member.process->logFile() : "");
    for (std::string line; std::getline(stream, line);) {
        lines.push_back(line);
        if (lines.size() > logTailLines) {
            lines.pop_front();
        }
    }
    std::string text;
    for (const std::string &line : lines) {
        absl::StrAppend(&text, "    ", line, "\n");
    }
    return text;
}

} // namespace Bergamotramp
