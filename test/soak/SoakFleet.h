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

/** Programs, folders and numbers of processes of a soak. */
struct SoakSetup {
    /** Path of bergamotramp-entryd. */
    std::string daemon;
    /** Folder with the programs of the stand-ins. */
    std::string standinFolder;
    /** Folder for settings, logs and the files in which upstreams record their runs. */
    std::string folder;
    int hosts = 4;
    int modelUpstreams = 4;
    int plainUpstreams = 2;
    /** Upstreams that leave state it in their responses only; their registrations do not change until they end. */
    bool leaveByStatement = false;
};

/** Limits of the guarantees that a soak checks; the user documentation states them. */
struct SoakBounds {
    /** Time without faults after which all hosts are expected to be connected again. */
    static constexpr absl::Duration reconnectTime = absl::Seconds(4);
    /** After the drain of an upstream is acknowledged, hosts stop sending it new requests within this time. */
    static constexpr absl::Duration drainTime = absl::Milliseconds(2500);
    /** From the acknowledgement of a configuration by the store until every host uses it. */
    static constexpr absl::Duration configPropagationTime = absl::Milliseconds(2500);
    /** From the end of the last fault until requests are served again. */
    static constexpr absl::Duration recoveryTime = absl::Seconds(12);
    /** From the end of new submissions until all accepted jobs are complete; also the completion deadline of batch items. */
    static constexpr absl::Duration jobCompletionTime = absl::Seconds(18);
    /** From the acceptance of a job until every host knows it. */
    static constexpr absl::Duration jobVisibilityTime = absl::Seconds(1);
    /** From the acknowledgement of a job's cancellation until none of its items starts any more. */
    static constexpr absl::Duration cancelTime = absl::Seconds(3);
    /** From the first response with a limit until no window has more than one and a half times the limit and limitExtra requests. */
    static constexpr absl::Duration limitNoticeTime = absl::Seconds(4);
    static constexpr absl::Duration limitWindow = absl::Seconds(4);
    static constexpr double limitShare = 1.5;
    static constexpr double limitExtra = 5;
    static constexpr absl::Duration stopGrace = absl::Seconds(8);
    static constexpr absl::Duration requestTimeout = absl::Seconds(5);
    static constexpr int maxAttempts = 3;
    /** Events in the response of a model upstream. */
    static constexpr int eventsPerResponse = 20;
};

/**
 * The processes of a soak: the store, upstreams and hosts. The hosts reach the store and the upstreams through a proxy, which injects
 * network faults.
 */
class SoakFleet
{
public:
    /** Host header of all requests. */
    static constexpr const char *virtualHost = "site.example";

    /** Starts all processes and writes the first configuration. Throws std::runtime_error if a port can't be reserved or a process doesn't start. */
    SoakFleet(EventLoop &loop, SoakSetup setup, SoakReport &report);

    [[nodiscard]] std::size_t hostCount() const;
    [[nodiscard]] std::string entryAddress(std::size_t host) const;
    [[nodiscard]] std::string directoryAddress(std::size_t host) const;
    void killHost(std::size_t host);
    void pauseHost(std::size_t host);
    /** Starts the host if it is down, resumes it if it is paused. */
    void recoverHost(std::size_t host);
    /** Sends SIGTERM; checkHosts() restarts the host after it has exited. */
    void stopHost(std::size_t host);
    void reloadHost(std::size_t host);
    /** When the host with this entry address was last started, paused or resumed. */
    [[nodiscard]] absl::Time interruptedAt(const std::string &entryAddress) const;
    /** Reports hosts that exit unexpectedly or don't stop in time, and restarts each host that has exited. */
    void checkHosts();
    /** Sets the faults of the connections from a host to the store. */
    void setStoreLinkFaults(std::size_t host, const RouteFaults &faults, RouteFreeze freeze);

    [[nodiscard]] std::size_t upstreamCount() const;
    [[nodiscard]] std::vector<std::string> runFiles() const;
    void killUpstream(std::size_t upstream);
    void pauseUpstream(std::size_t upstream);
    void recoverUpstream(std::size_t upstream);
    /**
     * Registers an upstream as draining, and kills and replaces it some time after the store has acknowledged that. @p acknowledged gets
     * the id of the draining upstream. With SoakSetup::leaveByStatement, the upstream states that it leaves instead, and @p acknowledged is
     * not called.
     */
    void drainUpstream(std::size_t upstream, std::function<void(const std::string &id)> acknowledged);
    void setUpstreamMode(std::size_t upstream, const std::string &mode);
    /** Lets the upstream state a limit of requests per second in its responses, none if it is 0. Returns the id of the upstream. */
    std::string setUpstreamLimit(std::size_t upstream, double requestsPerSecond);
    void setUpstreamLinkFaults(std::size_t upstream, const RouteFaults &faults, RouteFreeze freeze);

    void pauseStore();
    void resumeStore();
    void setStoreMode(const std::string &mode);
    void compactStore();
    /** Writes the next configuration, which adds a route for versionPath(version) and drops the one that was added two versions before. */
    void writeConfig(std::function<void(int version)> acknowledged);
    [[nodiscard]] int configVersion() const;
    static std::string versionPath(int version);
    /** Whether upstreams of the soak may have this software version. */
    static bool isSoftwareVersion(const std::string &version);

private:
    struct Host {
        std::string name;
        std::string ip;
        std::string settingsFile;
        std::string proxyRoute;
        std::unique_ptr<ChildProcess> process;
        absl::Time stopRequestedAt = absl::InfiniteFuture();
        absl::Time interruptedAt = absl::InfinitePast();
        bool down = false;
    };
    struct Upstream {
        std::string name;
        std::string service;
        std::string proxyRoute;
        /** Address of the proxy route, under which the upstream is registered. */
        std::string proxyAddress;
        std::string id;
        ReservedPort port;
        ReservedPort controlPort;
        int startCount = 0;
        /** Version of the software of the current start. Versions alternate, so that two of them serve side by side. */
        std::string softwareVersion;
        bool draining = false;
        bool down = false;
        std::unique_ptr<ChildProcess> process;
    };

    void startStore();
    void addUpstream(const std::string &name, const std::string &service);
    void startUpstream(Upstream &upstream);
    void leaveByStatement(std::size_t upstream);
    void postToUpstream(std::size_t upstream, const std::string &target);
    /** Kills and restarts the upstream unless it has been killed or restarted since it had this id. */
    void replaceUpstream(Upstream &upstream, const std::string &id);
    void addHost(std::size_t number);
    void startHost(Host &host);
    void registerUpstream(const Upstream &upstream, const std::string &state, std::function<void()> acknowledged);
    void eraseRegistrationLater(const std::string &id, absl::Duration delay);
    /** Queues a call to the store's control interface. Calls are sent one at a time in order; a failed one is sent again. */
    void sendStoreControl(const std::string &target, const nlohmann::json &body, std::function<void()> done);
    void sendNextControlCall();

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
    HttpCall currentControlCall;
    bool controlCallInFlight = false;
    /** The last control call to each upstream. */
    std::map<std::size_t, HttpCall> modeCalls;
    std::vector<LoopTimer> timers;
    int lastConfigVersion = 0;
    int upstreamStarts = 0;
};

} // namespace Bergamotramp
