#include "SoakFleet.h"

#include <csignal>
#include <fstream>
#include <stdexcept>

#include <absl/strings/str_cat.h>

namespace Bergamotramp {

namespace {

// Versions change with each few starts of any upstream, as in a release.
constexpr int softwareVersions = 3;
constexpr int startsPerVersion = 2;
constexpr absl::Duration startTimeout = absl::Seconds(30);
// Upstream registrations of the platform expire after three missed heartbeats. The soak erases that of a killed upstream after this time.
constexpr absl::Duration registrationExpiry = absl::Milliseconds(3600);
constexpr absl::Duration registerDelay = absl::Milliseconds(300);
// Longer than SoakBounds::drainTime, within which hosts may still send new requests to the draining upstream.
constexpr absl::Duration drainedKillDelay = absl::Milliseconds(3500);
constexpr absl::Duration unregisteredKillDelay = absl::Milliseconds(1500);
constexpr absl::Duration restartDelay = absl::Milliseconds(200);
constexpr int modelSlots = 8;
constexpr int plainSlots = 6;
constexpr int eventIntervalUs = 15'000;
constexpr int keptVersionRoutes = 2;
constexpr std::int64_t waitingTokenLimit = 100'000;

enum HostPort {
    Entry,
    Ready,
    Directory,
    Control,
    Peer,
    Metrics,
    PortCount
};

std::string portOf(const ReservedPort &port)
{
    const std::string address = port.address();
    return address.substr(address.rfind(':') + 1);
}

nlohmann::json route(const std::string &name, const std::string &prefix, const std::string &kind, const std::string &service)
{
    return {{"name", name},
            {"host", SoakFleet::virtualHost},
            {"pathPrefix", prefix},
            {"kind", kind},
            {"service", service},
            {"timeoutMs", absl::ToInt64Milliseconds(SoakBounds::requestTimeout)},
            {"targetLatencyMs", 300},
            {"gapTargetMs", 400},
            {"priority", 0},
            {"maxAttempts", SoakBounds::maxAttempts}};
}

} // namespace

SoakFleet::SoakFleet(EventLoop &loop, SoakSetup soakSetup, SoakReport &report)
    : loop(loop), setup(std::move(soakSetup)), report(report), client(loop, {}), hostPorts(PortCount)
{
    this->startStore();
    for (int number = 0; number < this->setup.modelUpstreams; ++number) {
        this->addUpstream(absl::StrCat("model-", number), "model");
    }
    for (int number = 0; number < this->setup.plainUpstreams; ++number) {
        this->addUpstream(absl::StrCat("plain-", number), "plain");
    }
    this->writeConfig([](int) {});
    for (int number = 0; number < this->setup.hosts; ++number) {
        this->addHost(static_cast<std::size_t>(number));
    }
}

void SoakFleet::startStore()
{
    this->store = std::make_unique<ChildProcess>(
        std::vector<std::string>{
            this->setup.standinFolder + "/standin-objects", "--address", this->storePort.address(), "--control", this->storeControlPort.address()},
        this->setup.folder + "/store.log");
    if (!this->store->waitForLine("listening", startTimeout)) {
        throw std::runtime_error("the store stand-in did not start; see " + this->store->logFile());
    }
}

void SoakFleet::addUpstream(const std::string &name, const std::string &service)
{
    auto upstream = std::make_unique<Upstream>();
    upstream->name = name;
    upstream->service = service;
    upstream->proxyRoute = name;
    upstream->proxyAddress = this->proxy.addRoute(name, upstream->port.address());
    this->startUpstream(*upstream);
    this->upstreams.push_back(std::move(upstream));
}

void SoakFleet::startUpstream(Upstream &upstream)
{
    const bool model = upstream.service == "model";
    upstream.id = absl::StrCat(upstream.name, ".", ++upstream.startCount);
    upstream.softwareVersion = absl::StrCat("v", 1 + (this->upstreamStarts++ / startsPerVersion) % softwareVersions);
    upstream.down = false;
    upstream.draining = false;
    upstream.process = std::make_unique<ChildProcess>(std::vector<std::string>{this->setup.standinFolder + "/standin-stream",
                                                                               "--id",
                                                                               upstream.id,
                                                                               "--runs",
                                                                               absl::StrCat(this->setup.folder, "/", upstream.name, ".runs"),
                                                                               "--address",
                                                                               upstream.port.address(),
                                                                               "--control",
                                                                               upstream.controlPort.address(),
                                                                               "--events",
                                                                               absl::StrCat(model ? SoakBounds::eventsPerResponse : 0),
                                                                               "--interval-us",
                                                                               absl::StrCat(eventIntervalUs),
                                                                               "--software-version",
                                                                               upstream.softwareVersion,
                                                                               "--slots",
                                                                               absl::StrCat(model ? modelSlots : plainSlots)},
                                                      absl::StrCat(this->setup.folder, "/", upstream.name, ".log"));
    this->timers.push_back(this->loop.after(registerDelay, [this, raw = &upstream, id = upstream.id] {
        if (raw->id == id && !raw->down) {
            this->registerUpstream(*raw, "ready", [] {});
        }
    }));
}

void SoakFleet::registerUpstream(const Upstream &upstream, const std::string &state, std::function<void()> acknowledged)
{
    this->sendStoreControl(absl::StrCat("/put?kind=servers&name=", upstream.id),
                           {{"service", upstream.service},
                            {"address", upstream.proxyAddress},
                            {"zone", "a"},
                            {"version", upstream.softwareVersion},
                            {"slots", upstream.service == "model" ? modelSlots : plainSlots},
                            {"state", state},
                            {"born", upstream.startCount}},
                           std::move(acknowledged));
}

void SoakFleet::eraseRegistrationLater(const std::string &id, absl::Duration delay)
{
    this->timers.push_back(this->loop.after(delay, [this, id] { this->sendStoreControl("/erase?kind=servers&name=" + id, nullptr, [] {}); }));
}

void SoakFleet::sendStoreControl(const std::string &target, const nlohmann::json &body, std::function<void()> done)
{
    this->controlCalls.push_back({.request = {.method = "POST", .target = target, .fields = {}, .body = body.dump()}, .done = std::move(done)});
    this->sendNextControlCall();
}

void SoakFleet::sendNextControlCall()
{
    if (this->controlCallInFlight || this->controlCalls.empty()) {
        return;
    }
    this->controlCallInFlight = true;
    const auto finishCall = [this](bool answered) {
        this->controlCallInFlight = false;
        if (answered) {
            const auto done = std::move(this->controlCalls.front().done);
            this->controlCalls.pop_front();
            done();
        }
        this->sendNextControlCall();
    };
    this->currentControlCall = this->client.send(this->storeControlPort.address(),
                                                 this->controlCalls.front().request,
                                                 {.matchesRequest = {},
                                                  .head = [](const HttpHead &) {},
                                                  .body = {},
                                                  .completed = [finishCall] { finishCall(true); },
                                                  .failed = [finishCall](HttpCallError) { finishCall(false); }});
}

void SoakFleet::addHost(std::size_t number)
{
    Host host;
    host.name = absl::StrCat("host-", number);
    host.ip = absl::StrCat("127.0.1.", number + 1);
    host.proxyRoute = host.name;
    host.settingsFile = absl::StrCat(this->setup.folder, "/", host.name, ".json");
    const auto address = [this, &host](HostPort port) { return absl::StrCat(host.ip, ":", portOf(this->hostPorts[port])); };
    nlohmann::json seeds = nlohmann::json::array();
    for (int seed = 1; seed <= 3; ++seed) {
        seeds.push_back(absl::StrCat("127.0.1.", seed, ":", portOf(this->hostPorts[Control])));
    }
    const nlohmann::json settings{{"name", host.name},
                                  {"role", "entry"},
                                  {"region", "north"},
                                  {"dataCentre", "a"},
                                  {"regions", {{"a", "north"}}},
                                  {"entryAddress", address(Entry)},
                                  {"readyAddress", address(Ready)},
                                  {"directoryAddress", address(Directory)},
                                  {"controlAddress", address(Control)},
                                  {"peerAddress", address(Peer)},
                                  {"metricsAddress", address(Metrics)},
                                  {"storeAddress", this->proxy.addRoute(host.proxyRoute, this->storePort.address())},
                                  {"seeds", seeds},
                                  {"stopGraceS", absl::ToDoubleSeconds(SoakBounds::stopGrace)}};
    std::ofstream(host.settingsFile) << settings.dump(1);
    this->hosts.push_back(std::move(host));
    this->startHost(this->hosts.back());
}

void SoakFleet::startHost(Host &host)
{
    host.interruptedAt = this->loop.now();
    host.down = false;
    host.stopRequestedAt = absl::InfiniteFuture();
    host.process = std::make_unique<ChildProcess>(std::vector<std::string>{this->setup.daemon, "--settings", host.settingsFile},
                                                  absl::StrCat(this->setup.folder, "/", host.name, ".log"));
}

std::size_t SoakFleet::hostCount() const
{
    return this->hosts.size();
}

std::string SoakFleet::entryAddress(std::size_t host) const
{
    return absl::StrCat(this->hosts[host].ip, ":", portOf(this->hostPorts[Entry]));
}

std::string SoakFleet::directoryAddress(std::size_t host) const
{
    return absl::StrCat(this->hosts[host].ip, ":", portOf(this->hostPorts[Directory]));
}

absl::Time SoakFleet::interruptedAt(const std::string &entryAddress) const
{
    for (std::size_t host = 0; host < this->hosts.size(); ++host) {
        if (this->entryAddress(host) == entryAddress) {
            return this->hosts[host].interruptedAt;
        }
    }
    return absl::InfinitePast();
}

void SoakFleet::killHost(std::size_t host)
{
    this->report.log("kill " + this->hosts[host].name);
    this->hosts[host].process->kill();
    this->hosts[host].down = true;
}

void SoakFleet::pauseHost(std::size_t host)
{
    this->report.log("pause " + this->hosts[host].name);
    this->hosts[host].interruptedAt = this->loop.now();
    this->hosts[host].process->sendSignal(SIGSTOP);
}

void SoakFleet::recoverHost(std::size_t host)
{
    Host &target = this->hosts[host];
    this->report.log("recover " + target.name);
    target.interruptedAt = this->loop.now();
    if (target.down) {
        this->startHost(target);
    } else {
        target.process->sendSignal(SIGCONT);
        if (target.stopRequestedAt < absl::InfiniteFuture()) {
            // A paused process makes no progress with its stop, so its grace period is measured from the time at which it resumes.
            target.stopRequestedAt = this->loop.now();
        }
    }
}

void SoakFleet::stopHost(std::size_t host)
{
    Host &target = this->hosts[host];
    if (target.down || target.stopRequestedAt < absl::InfiniteFuture()) {
        return;
    }
    this->report.log("stop " + target.name);
    target.stopRequestedAt = this->loop.now();
    target.process->sendSignal(SIGTERM);
}

void SoakFleet::reloadHost(std::size_t host)
{
    this->report.log("reload " + this->hosts[host].name);
    if (!this->hosts[host].down) {
        this->hosts[host].process->sendSignal(SIGHUP);
    }
}

void SoakFleet::checkHosts()
{
    for (Host &host : this->hosts) {
        if (host.down) {
            continue;
        }
        const auto code = host.process->exitCode();
        const bool stopRequested = host.stopRequestedAt < absl::InfiniteFuture();
        if (code && (!stopRequested || *code != 0)) {
            this->report.recordViolation("a host exits only on request and with code 0", absl::StrCat(host.name, " ended with ", *code));
        } else if (!code && stopRequested && this->loop.now() > host.stopRequestedAt + SoakBounds::stopGrace + SoakBounds::reconnectTime) {
            this->report.recordViolation("a stopped host exits within its grace period", host.name);
            host.process->kill();
        }
        if (code) {
            host.down = true;
            this->timers.push_back(this->loop.after(restartDelay, [this, raw = &host] {
                if (raw->down) {
                    this->startHost(*raw);
                }
            }));
        }
    }
}

void SoakFleet::setStoreLinkFaults(std::size_t host, const RouteFaults &faults, RouteFreeze freeze)
{
    this->proxy.setFaults(this->hosts[host].proxyRoute, faults);
    this->proxy.freeze(this->hosts[host].proxyRoute, freeze);
}

std::size_t SoakFleet::upstreamCount() const
{
    return this->upstreams.size();
}

std::vector<std::string> SoakFleet::runFiles() const
{
    std::vector<std::string> files;
    for (const auto &upstream : this->upstreams) {
        files.push_back(absl::StrCat(this->setup.folder, "/", upstream->name, ".runs"));
    }
    return files;
}

void SoakFleet::killUpstream(std::size_t upstream)
{
    Upstream &target = *this->upstreams[upstream];
    this->report.log("kill " + target.id);
    target.process->kill();
    target.down = true;
    this->eraseRegistrationLater(target.id, registrationExpiry);
}

void SoakFleet::pauseUpstream(std::size_t upstream)
{
    this->report.log("pause " + this->upstreams[upstream]->id);
    this->upstreams[upstream]->process->sendSignal(SIGSTOP);
}

void SoakFleet::recoverUpstream(std::size_t upstream)
{
    Upstream &target = *this->upstreams[upstream];
    if (target.down) {
        this->startUpstream(target);
    } else {
        target.process->sendSignal(SIGCONT);
    }
    this->report.log("recover " + target.id);
}

void SoakFleet::drainUpstream(std::size_t upstream, std::function<void(const std::string &id)> acknowledged)
{
    Upstream &target = *this->upstreams[upstream];
    if (target.down || target.draining) {
        return;
    }
    target.draining = true;
    this->report.log("drain " + target.id);
    if (this->setup.leaveByStatement) {
        this->leaveByStatement(upstream);
        return;
    }
    this->registerUpstream(target, "draining", [this, raw = &target, id = target.id, done = std::move(acknowledged)] {
        done(id);
        this->timers.push_back(this->loop.after(drainedKillDelay, [this, raw, id] { this->replaceUpstream(*raw, id); }));
    });
}

void SoakFleet::leaveByStatement(std::size_t upstream)
{
    Upstream &target = *this->upstreams[upstream];
    this->postToUpstream(upstream, "/leave");
    // The upstream ends some time after its registration was removed, because a host that has just started has no answer of it yet.
    this->eraseRegistrationLater(target.id, drainedKillDelay);
    this->timers.push_back(
        this->loop.after(drainedKillDelay + unregisteredKillDelay, [this, raw = &target, id = target.id] { this->replaceUpstream(*raw, id); }));
}

void SoakFleet::replaceUpstream(Upstream &upstream, const std::string &id)
{
    if (upstream.id == id && !upstream.down) {
        upstream.process->kill();
        this->eraseRegistrationLater(id, absl::ZeroDuration());
        this->startUpstream(upstream);
    }
}

void SoakFleet::setUpstreamMode(std::size_t upstream, const std::string &mode)
{
    this->report.log(absl::StrCat(this->upstreams[upstream]->id, " mode ", mode));
    this->postToUpstream(upstream, "/mode?value=" + mode);
}

bool SoakFleet::isSoftwareVersion(const std::string &version)
{
    for (int number = 1; number <= softwareVersions; ++number) {
        if (version == absl::StrCat("v", number)) {
            return true;
        }
    }
    return false;
}

std::string SoakFleet::setUpstreamLimit(std::size_t upstream, double requestsPerSecond)
{
    const Upstream &target = *this->upstreams[upstream];
    const std::string value = requestsPerSecond > 0 ? absl::StrCat(requestsPerSecond) : "none";
    this->report.log(absl::StrCat(target.id, " limit ", value));
    this->postToUpstream(upstream, "/limit?value=" + value);
    return target.id;
}

void SoakFleet::postToUpstream(std::size_t upstream, const std::string &target)
{
    this->modeCalls[upstream] =
        this->client.send(this->upstreams[upstream]->controlPort.address(),
                          {.method = "POST", .target = target, .fields = {}, .body = {}},
                          {.matchesRequest = {}, .head = [](const HttpHead &) {}, .body = {}, .completed = [] {}, .failed = [](HttpCallError) {}});
}

void SoakFleet::setUpstreamLinkFaults(std::size_t upstream, const RouteFaults &faults, RouteFreeze freeze)
{
    this->proxy.setFaults(this->upstreams[upstream]->proxyRoute, faults);
    this->proxy.freeze(this->upstreams[upstream]->proxyRoute, freeze);
}

void SoakFleet::pauseStore()
{
    this->report.log("pause store");
    this->store->sendSignal(SIGSTOP);
}

void SoakFleet::resumeStore()
{
    this->report.log("resume store");
    this->store->sendSignal(SIGCONT);
}

void SoakFleet::setStoreMode(const std::string &mode)
{
    this->report.log("store mode " + mode);
    this->sendStoreControl("/mode?value=" + mode, nullptr, [] {});
}

void SoakFleet::compactStore()
{
    this->report.log("compact store");
    this->sendStoreControl("/compact", nullptr, [] {});
}

std::string SoakFleet::versionPath(int version)
{
    return absl::StrCat("/v", version, "/");
}

int SoakFleet::configVersion() const
{
    return this->lastConfigVersion;
}

void SoakFleet::writeConfig(std::function<void(int version)> acknowledged)
{
    const int next = ++this->lastConfigVersion;
    nlohmann::json resumable = route("resumable", "/resumable/", "streaming", "model");
    resumable["resumable"] = true;
    nlohmann::json batch = route("batch", "/batch/", "batch", "model");
    batch["dueMs"] = absl::ToInt64Milliseconds(SoakBounds::jobCompletionTime);
    batch["retentionS"] = 600;
    batch["maxCount"] = waitingTokenLimit;
    nlohmann::json routes{resumable,
                          batch,
                          route("stream", "/stream/", "streaming", "model"),
                          route("plain", "/plain/", "safe", "plain"),
                          route("once", "/once/", "unsafe", "plain")};
    for (int added = std::max(1, next - keptVersionRoutes + 1); added <= next; ++added) {
        routes.push_back(route(absl::StrCat("v", added), versionPath(added), "safe", "plain"));
    }
    this->report.log(absl::StrCat("configuration ", next));
    this->sendStoreControl("/put?kind=config&name=main",
                           {{"version", next},
                            {"routes", routes},
                            {"services", {{{"name", "model"}}, {{"name", "plain"}}}},
                            {"limits", {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 4194304}, {"headerTimeoutMs", 3000}, {"idleTimeoutMs", 15000}}}},
                           [done = std::move(acknowledged), next] { done(next); });
}

} // namespace Bergamotramp
