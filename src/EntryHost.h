#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "CallerRequestHandler.h"
#include "CollectedBytes.h"
#include "ConfigConfirmation.h"
#include "ConfigVersions.h"
#include "CrashQuarantine.h"
#include "EntryMetrics.h"
#include "EntrySettings.h"
#include "EventLoop.h"
#include "FleetLoad.h"
#include "HttpClient.h"
#include "HttpServer.h"
#include "JobCallHandler.h"
#include "JobService.h"
#include "JsonLog.h"
#include "KindWatcher.h"
#include "PeerClient.h"
#include "PeerDiscovery.h"
#include "PeerExchange.h"
#include "PeerTable.h"
#include "PlatformAdapter.h"
#include "PromptPartQuarantine.h"
#include "QuotaExchange.h"
#include "RegistrationReader.h"
#include "RelayedStore.h"
#include "RevisionLag.h"
#include "SoleVersion.h"
#include "StartPlan.h"
#include "StopPlan.h"
#include "StreamOriginExchange.h"
#include "UpstreamHealth.h"
#include "UpstreamLimiter.h"
#include "UpstreamSelector.h"
#include "UpstreamTable.h"
#include "VersionHistory.h"

namespace Bergamotramp {

/**
 * One entry host: creates its components, connects them and routes HTTP requests to them.
 * All of them run on one event loop.
 */
class EntryHost
{
public:
    /** Binds the addresses and starts; throws std::runtime_error. @p onStopped is called when a graceful stop is complete. */
    EntryHost(EventLoop &loop, EntrySettings settings, PlatformAdapter platform, JsonLog &log, EntryMetrics &metrics, std::function<void()> onStopped);
    ~EntryHost();
    EntryHost(const EntryHost &) = delete;
    EntryHost &operator=(const EntryHost &) = delete;

    /** Begins a graceful stop. */
    void stop();
    /** The current settings, with the ports that were bound. */
    [[nodiscard]] const EntrySettings &currentSettings() const;
    /** Whether this host accepts requests from callers: it knows the configuration and the upstreams, its view of
     *  the configuration is not too old, and it is not stopping. */
    [[nodiscard]] bool ready() const;
    /**
     * Takes the address time to live, the stop grace period and the seeds from @p changed. The seeds are only contacted at start, and a stop
     * that has begun keeps its times.
     */
    void reload(const EntrySettings &changed);

private:
    void startServers();
    /** One budget for the callers of all servers. */
    void limitCallers();
    /** @p incarnation is the start time of this process in microseconds since the epoch. */
    void createPeerExchange(std::uint64_t incarnation);
    void createJobs(std::uint64_t incarnation);
    void createCallerRequests();
    void createQuotas();
    void createStreamOrigins();
    void createPeerDiscovery();
    void createConfigConfirmation();
    /** The refusal of a request that needs a key, if the view of the configuration is too old. */
    [[nodiscard]] std::optional<HttpResponse> unconfirmedRefusal(const std::string &requestId) const;
    void createWatchers();
    /** Starts each watcher when the plan for the start allows it. */
    void startWatchersWhenDue();
    /** Handles the requests that wait for the routing data, once the current callback has returned. */
    void releaseWaitingRequests();
    /** Whether the configuration and the upstreams are known. */
    [[nodiscard]] bool routingKnown() const;
    /** Whether requests may wait for the configuration and the upstreams, which are expected within a moment. */
    [[nodiscard]] bool routingExpected() const;
    /** The hooks that all watchers share: those for failure and recovery of the store. */
    KindWatcher::Hooks failureHooks(const std::string &kind);
    void onStoreFailed(const std::string &kind, StoreResult result);
    void onStoreRecovered();
    /** Restarts all watches, because a call showed that the store has become unavailable. */
    void restartWatches();
    /** Repeats failed calls at once, without the rest of their retry delay. */
    void retryWatches();
    void applyConfig(const ObjectRecord &object);
    /** Keeps the version in force. */
    void rejectConfig(std::uint64_t revision, const ConfigRejection &rejection);
    /** Takes over a complete list of the upstreams. */
    void applyUpstreams(const std::vector<ObjectRecord> &objects);
    void applyUpstreamChange(const ObjectChange &change);
    void onStatedLeaving(const LeavingStatement &statement);
    /** Takes the run of an upstream out of the choice for new requests; @p source is what this host learned it from. Returns whether it was new. */
    bool recordStatedLeaving(const UpstreamRun &run, const std::string &source);
    void observeVersions();
    /** The only software version that can have begun a stream of the service which callers may still take up, as far as this host knows. */
    [[nodiscard]] std::optional<SoleVersion> soleVersion(const std::string &service) const;
    /** Asks the store whether the service has had no other version since then; @p done gets false if that is not certain. */
    void confirmSoleVersion(const std::string &service, const SoleVersion &sole, std::function<void(bool)> done);
    [[nodiscard]] bool hasSeveralVersions(const std::string &service) const;
    /** How long after its first event callers may take up a stream of the service. Requires a configuration. */
    [[nodiscard]] absl::Duration takeUpPeriod(const std::string &service) const;
    void onStatedLimit(const LimitStatement &statement);
    [[nodiscard]] AttemptContext attemptContext();
    [[nodiscard]] OnlineContext onlineContext();
    void onPeerAnnouncement(const Peer &peer);
    void adjustWatchTimings();
    /** Fetches the configuration from @p peer now, unless such a request is pending. */
    void fetchConfig(const Peer &peer);
    /** Fetches a newer configuration from @p peer when this host has lacked it for at least configRequestDelay(). */
    void requestConfigFromPeer(const Peer &peer);
    /** How long this host lacks a newer configuration before it requests it from @p peer. */
    [[nodiscard]] absl::Duration configRequestDelay(const Peer &peer) const;
    /** Lists the upstreams again when this host has lacked a change that other hosts know for too long. */
    void relistUpstreamsIfBehind(absl::Time now);
    /** Renews the watch of the job headers when this host has lacked a change that other hosts know for too long. */
    void renewJobWatchIfBehind(absl::Time now);
    void applySnapshot(const std::string &body);

    void onControlRequest(const std::shared_ptr<HttpExchange> &exchange);
    void onDirectoryRequest(const std::shared_ptr<HttpExchange> &exchange);
    void onReadyRequest(const std::shared_ptr<HttpExchange> &exchange);
    void onMetricsRequest(const std::shared_ptr<HttpExchange> &exchange);

    void tick();
    [[nodiscard]] bool stopping() const;
    void checkStopProgress();
    /** Answers all requests whose response has not begun, shortly before the host ends. */
    void answerRequestsBeforeStop();
    [[nodiscard]] std::vector<EntryEndpoint> readyEndpoints() const;
    /** The host that is to run a job: @p owner while it is live, else a live host chosen by rendezvous hashing. */
    [[nodiscard]] std::string runningHost(const std::string &jobId, const std::string &owner) const;
    /** Position of this host among the successors of a lost runner of a job; nothing while @p runner is live. */
    [[nodiscard]] std::optional<std::size_t> takeoverRankOf(const std::string &jobId, const std::string &runner) const;
    /** How long after the time at which a trial of a quarantined part of prompts is due this host may start it. */
    [[nodiscard]] absl::Duration trialDelay(std::uint64_t part) const;
    [[nodiscard]] nlohmann::json snapshot() const;
    double randomFraction();

    EventLoop &loop;
    EntrySettings settings;
    PlatformAdapter platform;
    JsonLog &log;
    EntryMetrics &metrics;
    std::function<void()> onStopped;
    std::mt19937_64 random;

    UpstreamTable upstreams;
    FleetLoad load;
    UpstreamHealth health;
    UpstreamSelector upstreamSelector;
    CrashQuarantine crashQuarantine;
    PromptPartQuarantine promptParts;
    PeerTable peers;
    UpstreamLimiter limiter;
    VersionHistory versions;
    std::shared_ptr<const RoutingConfig> config;
    ConfigVersions configVersions;
    nlohmann::json configObject;
    std::map<std::string, nlohmann::json> upstreamObjects;
    bool upstreamsKnown = false;
    /** Store revision of the newest upstream change that this host knows. */
    std::uint64_t upstreamRevision = 0;
    RevisionLag upstreamLag;
    RevisionLag jobLag;
    /** Since when another host has known a newer revision; infinite future when none does. */
    absl::Time configBehindSince = absl::InfiniteFuture();
    bool storeAvailable = true;
    /** When the store last left a call of this host unanswered. */
    absl::Time storeUnansweredAt = absl::InfinitePast();
    /** When the watches were last restarted because another host announced that the store does not answer. */
    absl::Time peerStoreNoticeAt = absl::InfinitePast();

    CollectedBytes collectedBytes;
    HttpClient upstreamClient;
    PeerClient peerClient;
    std::unique_ptr<PeerExchange> peerExchange;
    std::unique_ptr<PeerDiscovery> peerDiscovery;
    std::unique_ptr<RegistrationReader> registrationReader;
    std::unique_ptr<StreamOriginExchange> streamOrigins;
    std::unique_ptr<QuotaExchange> quotas;
    /** Null without a bound on the time that a revocation takes. */
    std::unique_ptr<ConfigConfirmation> configConfirmation;
    WatchRelaySelector relaySelector;
    RelayedStore relayedStore;
    std::unique_ptr<JobService> jobs;
    std::unique_ptr<JobCallHandler> jobCalls;
    std::unique_ptr<KindWatcher> configWatcher;
    std::unique_ptr<KindWatcher> upstreamWatcher;
    std::unique_ptr<KindWatcher> jobWatcher;
    std::shared_ptr<CallerBudget> callerBudget;
    std::unique_ptr<HttpServer> entryServer;
    std::unique_ptr<HttpServer> readyServer;
    std::unique_ptr<HttpServer> directoryServer;
    std::unique_ptr<HttpServer> controlServer;
    std::unique_ptr<HttpServer> metricsServer;

    /** Null if requests are not hedged. */
    std::unique_ptr<HedgePlanner> hedges;
    std::unique_ptr<CallerRequestHandler> callerRequests;
    bool configRequestPending = false;
    StartPlan startPlan;
    bool routingWatchersStarted = false;
    bool jobWatcherStarted = false;
    /** Set while the host stops. */
    std::optional<StopPlan> stopPlan;
    absl::Time lastTickAt = absl::InfiniteFuture();
    absl::Time watchTimingsAdjustedAt = absl::InfinitePast();
    LoopTimer startTimer;
    LoopTimer releaseTimer;
    LoopTimer tickTimer;
    LoopTimer stopTimer;
};

} // namespace Bergamotramp
