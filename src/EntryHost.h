#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

#include "CrashSuspects.h"
#include "EntryMetrics.h"
#include "EntrySettings.h"
#include "EventLoop.h"
#include "FleetLoad.h"
#include "HttpClient.h"
#include "HttpServer.h"
#include "JobService.h"
#include "JsonLog.h"
#include "KindWatcher.h"
#include "OnlineCall.h"
#include "PeerBoard.h"
#include "PeerExchange.h"
#include "PlatformLink.h"
#include "RelayedStore.h"
#include "UpstreamChoice.h"
#include "UpstreamHealth.h"
#include "UpstreamTable.h"

namespace Bergamotramp {

/** One entry host on the users' platform: the composition of its parts. */
class EntryHost
{
public:
    /** Binds the addresses and starts; throws std::runtime_error. @p stopped is called when a planned stop has ended. */
    EntryHost(EventLoop &loop, EntrySettings settings, PlatformLink platform, JsonLog &log, EntryMetrics &metrics, std::function<void()> stopped);
    ~EntryHost();
    EntryHost(const EntryHost &) = delete;
    EntryHost &operator=(const EntryHost &) = delete;

    /** Begins a planned stop. */
    void stop();
    /** The settings in force, with the ports that were chosen. */
    [[nodiscard]] const EntrySettings &currentSettings() const;
    /** Whether callers are sent here. */
    [[nodiscard]] bool ready() const;
    /** Takes settings that changed while the host runs. */
    void reload(const EntrySettings &changed);

private:
    void startServers();
    void makeWatchers();
    /** Starts the watchers once this host knows others, or has waited for that since @p begun. */
    void startWatchers(absl::Time begun);
    void meetPeers();
    void storeOwnAddress();
    void listHosts();
    KindWatcher::Hooks watchHooks(const std::string &kind);
    void storeLost(const std::string &kind, StoreResult result);
    void storeRegained();
    /** Restarts all watches, because one call showed that the store was lost. */
    void restartWatches();
    /** Lists what waits to be listed, now. */
    void retryWatches();
    void takeConfig(const ObjectRecord &object);
    void takeUpstreams(const std::vector<ObjectRecord> &objects);
    void changeUpstream(const ObjectChange &change);
    void heard(const Peer &peer);
    void adaptPace();
    /** Asks another host for a newer configuration that this one has been missing for a while. */
    void askPeerForConfig(const Peer &peer);
    /** How long this host misses a newer configuration before it asks @p peer for it. */
    [[nodiscard]] absl::Duration configPatience(const Peer &peer) const;
    /** Lists the upstreams again when other hosts have known of a newer change for too long. */
    void catchUpWithPeers(absl::Time now);
    void callPeer(const Peer &peer, const HttpRequest &request, absl::Duration timeout, std::function<void(const std::optional<HttpResponse> &)> done);
    void takeSnapshot(const std::string &body);

    void onEntryRequest(const std::shared_ptr<HttpExchange> &exchange);
    void onControlRequest(const std::shared_ptr<HttpExchange> &exchange);
    void onDirectoryRequest(const std::shared_ptr<HttpExchange> &exchange);
    void onReadyRequest(const std::shared_ptr<HttpExchange> &exchange);
    void onMetricsRequest(const std::shared_ptr<HttpExchange> &exchange);
    void startOnline(const std::shared_ptr<HttpExchange> &exchange, const CallerCall &call, const Route &route);
    void submitJob(const std::shared_ptr<HttpExchange> &exchange, const CallerCall &call, const Route &route);
    void onJobCall(const std::shared_ptr<HttpExchange> &exchange, const CallerCall &call, bool forwarded);
    void answerJobCall(const std::shared_ptr<HttpExchange> &exchange, const CallerCall &call);
    void forwardJobCall(const std::shared_ptr<HttpExchange> &exchange, const CallerCall &call, const Peer &owner);
    void refuseJobLookup(const std::shared_ptr<HttpExchange> &exchange, JobLookup lookup);
    void endJob(const std::shared_ptr<HttpExchange> &exchange, const CallerCall &call);
    /** Tells the host that runs a job that it has ended, so that its items stop before its watch brings the change. */
    void tellRunner(const std::string &jobId);

    void tick();
    void checkStopped();
    [[nodiscard]] std::vector<EntryPoint> readyEntries() const;
    [[nodiscard]] std::string runningHost(const std::string &jobId, const std::string &owner) const;
    [[nodiscard]] nlohmann::json snapshot() const;
    double draw();

    EventLoop &loop;
    EntrySettings settings;
    PlatformLink platform;
    JsonLog &log;
    EntryMetrics &metrics;
    std::function<void()> stopped;
    std::mt19937_64 random;

    UpstreamTable upstreams;
    FleetLoad load;
    UpstreamHealth health;
    UpstreamChoice choice;
    CrashSuspects suspects;
    PeerBoard peers;
    std::shared_ptr<const RoutingConfig> config;
    nlohmann::json configObject;
    std::map<std::string, nlohmann::json> upstreamObjects;
    bool upstreamsKnown = false;
    /** The newest change of an upstream that this host, and that any host knows. */
    std::uint64_t upstreamRevision = 0;
    std::uint64_t newestUpstreamRevision = 0;
    /** Since when another host has known of something newer. */
    absl::Time configBehindSince = absl::InfiniteFuture();
    absl::Time upstreamsBehindSince = absl::InfiniteFuture();
    bool storeAvailable = true;
    absl::Time storeSilentAt = absl::InfinitePast();
    absl::Time storeNoticeAt = absl::InfinitePast();

    HttpClient upstreamClient;
    HttpClient peerClient;
    std::unique_ptr<PeerExchange> exchange;
    WatchRelays relays;
    RelayedStore followed;
    std::unique_ptr<JobService> jobs;
    std::unique_ptr<KindWatcher> configWatcher;
    std::unique_ptr<KindWatcher> upstreamWatcher;
    std::unique_ptr<KindWatcher> jobWatcher;
    std::unique_ptr<HttpServer> entryServer;
    std::unique_ptr<HttpServer> readyServer;
    std::unique_ptr<HttpServer> directoryServer;
    std::unique_ptr<HttpServer> controlServer;
    std::unique_ptr<HttpServer> metricsServer;

    std::set<std::shared_ptr<OnlineCall>> calls;
    /** A call to another host with its time-out. */
    struct PeerCall {
        HttpCall call;
        LoopTimer timer;
    };
    /** Calls that run; each removes itself. */
    std::set<std::shared_ptr<PeerCall>> peerCalls;
    bool askingPeer = false;
    bool stopping = false;
    absl::Time stopBegan = absl::InfinitePast();
    absl::Time lastTick = absl::InfiniteFuture();
    LoopTimer startTimer;
    LoopTimer meetTimer;
    LoopTimer tickTimer;
    LoopTimer stopTimer;
};

} // namespace Bergamotramp
