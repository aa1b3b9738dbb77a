#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "ChildProcess.h"
#include "EventLoop.h"
#include "FaultProxy.h"
#include "HttpClient.h"
#include "ReservedPort.h"
#include "SoakReport.h"

namespace Bergamotramp {

/** What a soak runs, and where. */
struct SoakSetup {
    std::string daemon;
    /** Folder of the stand-ins. */
    std::string standins;
    /** Settings, logs and records go here. */
    std::string folder;
    int hosts = 4;
    int models = 4;
    int plains = 2;
};

/** Bounds of the promises that a soak checks; the users' pages state them. */
struct SoakBounds {
    static constexpr absl::Duration inTouch = absl::Seconds(4);
    static constexpr absl::Duration drain = absl::Milliseconds(2500);
    static constexpr absl::Duration configInForce = absl::Milliseconds(2500);
    static constexpr absl::Duration recovery = absl::Seconds(12);
    static constexpr absl::Duration jobsFinish = absl::Seconds(18);
    static constexpr absl::Duration jobVisible = absl::Seconds(1);
    static constexpr absl::Duration cancel = absl::Seconds(3);
    static constexpr absl::Duration stopGrace = absl::Seconds(8);
    static constexpr absl::Duration requestTimeout = absl::Seconds(5);
    static constexpr int maxAttempts = 3;
    /** Events of a model's answer. */
    static constexpr int events = 20;
};

/** The processes of a soak: the store, upstreams and hosts, with a proxy between them. */
class SoakFleet
{
public:
    static constexpr const char *callerHost = "site.example";

    /** Starts everything. Throws std::runtime_error. */
    SoakFleet(EventLoop &loop, SoakSetup setup, SoakReport &report);

    [[nodiscard]] std::size_t hostCount() const;
    [[nodiscard]] std::string entryAddress(std::size_t host) const;
    [[nodiscard]] std::string directoryAddress(std::size_t host) const;
    void killHost(std::size_t host);
    void pauseHost(std::size_t host);
    /** Starts a host that is down, lets one go on that is paused. */
    void recoverHost(std::size_t host);
    /** SIGTERM; the host is started again when it has ended. */
    void stopHost(std::size_t host);
    void reloadHost(std::size_t host);
    /** Reports hosts that end without reason and starts those again that ended as planned. */
    void checkHosts();
    /** Faults of the connections from a host to the store. */
    void setStoreLink(std::size_t host, const RouteFaults &faults, RouteFreeze freeze);

    [[nodiscard]] std::size_t upstreamCount() const;
    [[nodiscard]] std::vector<std::string> runFiles() const;
    void killUpstream(std::size_t upstream);
    void pauseUpstream(std::size_t upstream);
    void recoverUpstream(std::size_t upstream);
    /** Announces that an upstream leaves, ends it later and starts another one in its place. */
    void drainUpstream(std::size_t upstream, std::function<void(const std::string &id)> acknowledged);
    void setUpstreamMode(std::size_t upstream, const std::string &mode);
    void setUpstreamLink(std::size_t upstream, const RouteFaults &faults, RouteFreeze freeze);

    void pauseStore();
    void resumeStore();
    void setStoreMode(const std::string &mode);
    void compactStore();
    /** Writes the next configuration, which adds the route versionPath(version) and drops the one added two before. */
    void writeConfig(std::function<void(int version)> acknowledged);
    [[nodiscard]] int configVersion() const;
    static std::string versionPath(int version);

private:
    struct Host {
        std::string name;
        std::string ip;
        std::string settingsFile;
        std::string route;
        std::unique_ptr<ChildProcess> process;
        absl::Time stopBegan = absl::InfiniteFuture();
        bool down = false;
    };
    struct Upstream {
        std::string name;
        std::string service;
        std::string route;
        std::string shownAddress;
        std::string id;
        ReservedPort port;
        ReservedPort controlPort;
        int starts = 0;
        bool draining = false;
        bool down = false;
        std::unique_ptr<ChildProcess> process;
    };

    void startStore();
    void addUpstream(const std::string &name, const std::string &service);
    void startUpstream(Upstream &upstream);
    void addHost(std::size_t number);
    void startHost(Host &host);
    void registerUpstream(const Upstream &upstream, const std::string &state, std::function<void()> acknowledged);
    void eraseLater(const std::string &id, absl::Duration delay);
    /** Sends a call to the store's control interface after those before it have been answered. */
    void controlStore(const std::string &target, const nlohmann::json &body, std::function<void()> done);
    void nextControl();

    struct ControlCall {
        HttpRequest request;
        std::function<void()> done;
    };

    EventLoop &loop;
    SoakSetup setup;
    SoakReport &report;
    FaultProxy proxy;
    HttpClient client;
    ReservedPort storePort;
    ReservedPort storeControlPort;
    std::vector<ReservedPort> hostPorts;
    std::unique_ptr<ChildProcess> store;
    std::vector<Host> hosts;
    std::vector<std::unique_ptr<Upstream>> upstreams;
    std::deque<ControlCall> controlCalls;
    HttpCall control;
    bool controlBusy = false;
    /** The last change of each upstream's mode. */
    std::map<std::size_t, HttpCall> modeCalls;
    std::vector<LoopTimer> timers;
    int version = 0;
};

} // namespace Bergamotramp
