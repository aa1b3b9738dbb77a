#include "EntryHost.h"

#include <algorithm>

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include "CallRefusal.h"
#include "LimitedJson.h"
#include "RendezvousHash.h"
#include "TakeoverCandidates.h"

namespace Bergamotramp {

namespace {

constexpr absl::Duration tickPeriod = absl::Milliseconds(40);
// The number of hosts that watch the store is counted over the whole fleet, so it is not counted with each tick.
constexpr absl::Duration watchTimingPeriod = absl::Milliseconds(500);
// A tick that is later than this means that the process was suspended or got no CPU time.
constexpr absl::Duration maxTickDelay = absl::Milliseconds(400);
// After a failed call the configuration is requested first. When the store answers, the other kinds are listed at once.
constexpr absl::Duration configRetryDelay = absl::Milliseconds(350);
constexpr absl::Duration defaultRetryDelay = absl::Seconds(3);
// Upstreams register and leave in groups. The first change is reported at once; the changes that follow are collected for this long.
constexpr absl::Duration baseUpstreamCoalesce = absl::Milliseconds(100);
constexpr absl::Duration maxUpstreamCoalesce = absl::Milliseconds(600);
// A cancellation may be noticed seconds late, and job headers change often and every host fetches each change. Large fleets
// therefore collect more changes into one call.
constexpr absl::Duration baseJobCoalesce = absl::Milliseconds(500);
constexpr absl::Duration maxJobCoalesce = absl::Milliseconds(1500);
// A change of a job header reaches all hosts within this time: the longest delay of a watch that collects changes, and RevisionLag::maxLag.
constexpr absl::Duration maxJobLag = absl::Milliseconds(2700);
constexpr absl::Duration watchWait = absl::Seconds(25);
// A store that stops answering loses the watches that are pending. The configuration watch is renewed more often than the
// others to detect this early; its failure restarts all watches, on this host and on the other hosts.
constexpr absl::Duration configWatchWait = absl::Seconds(5);
// When more hosts than this watch the store, the coalescing delays and the wait of the configuration watch grow in proportion.
constexpr std::size_t maxWatchersWithoutScaling = 8;
constexpr absl::Duration storeSilenceAnnounceDuration = absl::Seconds(2);
// Another host's report that the store does not answer is acted on at most this often, because only that host may be affected.
constexpr absl::Duration storeNoticeInterval = absl::Seconds(6);
constexpr absl::Duration upstreamConnectTimeout = absl::Milliseconds(300);
constexpr absl::Duration snapshotResponseTimeout = absl::Milliseconds(600);
constexpr absl::Duration startCheckPeriod = absl::Milliseconds(50);
// The hosts may start a due trial of a quarantined part of prompts one after another, this far apart.
constexpr absl::Duration trialDelayPerHost = absl::Seconds(5);
// Callers take a stream up for no longer than this many timeouts of its route.
constexpr int takeUpTimeouts = 3;
constexpr std::size_t controlConnections = 500;
constexpr const char *snapshotPath = "/peer/snapshot";

std::uint64_t startTimeMicros()
{
    return static_cast<std::uint64_t>(absl::ToUnixMicros(absl::Now()));
}

HostLocation locationOf(const EntrySettings &settings)
{
    return {.dataCentre = settings.dataCentre, .region = settings.region, .regionByDataCentre = settings.regionByDataCentre};
}

} // namespace

EntryHost::EntryHost(
    EventLoop &loop, EntrySettings hostSettings, PlatformAdapter platformAdapter, JsonLog &log, EntryMetrics &metrics, std::function<void()> onStopped)
    : loop(loop)
    , settings(std::move(hostSettings))
    , platform(std::move(platformAdapter))
    , log(log)
    , metrics(metrics)
    , onStopped(std::move(onStopped))
    , random(stableHash(this->settings.name) ^ startTimeMicros())
    , upstreamSelector(this->upstreams, this->load, this->health, locationOf(this->settings), [this] { return this->randomFraction(); })
    , limiter({.name = this->settings.name, .dataCentre = this->settings.dataCentre, .region = this->settings.region}, this->upstreams, this->peers, loop.now())
    , jobLag(maxJobLag)
    , upstreamClient(loop, {.connectTimeout = upstreamConnectTimeout})
    , peerClient(loop)
    , relaySelector(this->peers, this->settings.name, this->settings.dataCentre, static_cast<std::uint32_t>(this->settings.linkMbps))
    , relayedStore(loop,
                   *this->platform.store,
                   this->relaySelector,
                   {this->platform.configKind, this->platform.upstreamKind, JobArchive::headerKind},
                   log,
                   [this](const Peer &peer, const HttpRequest &request, absl::Duration timeout, auto done) {
                       this->peerClient.send(peer.controlAddress, request, timeout, std::move(done));
                   })
    , startPlan(loop.now(), !this->settings.seeds.empty())
{
    this->upstreamSelector.setStartFilter([this](const UpstreamInfo &upstream, bool batch, absl::Time now) {
        return this->limiter.mayStart(upstream, batch ? LimitedClass::Batch : LimitedClass::Online, now);
    });
    this->startServers();
    const std::uint64_t incarnation = startTimeMicros();
    this->createPeerExchange(incarnation);
    this->createJobs(incarnation);
    this->createCallerRequests();
    this->createQuotas();
    this->createStreamOrigins();
    this->createConfigConfirmation();
    this->createWatchers();
    this->createPeerDiscovery();
    this->peerDiscovery->start(this->settings.seeds);
    this->startWatchersWhenDue();
    this->tickTimer = this->loop.after(tickPeriod, [this] { this->tick(); });
}

EntryHost::~EntryHost() = default;

void EntryHost::createPeerExchange(std::uint64_t incarnation)
{
    const Peer self{.name = this->settings.name,
                    .region = this->settings.region,
                    .dataCentre = this->settings.dataCentre,
                    .entryAddress = this->settings.entryAddress,
                    .controlAddress = this->settings.controlAddress,
                    .peerAddress = this->settings.peerAddress,
                    .incarnation = incarnation,
                    .linkMbps = static_cast<std::uint32_t>(this->settings.linkMbps)};
    this->peerExchange = std::make_unique<PeerExchange>(
        this->loop,
        self,
        this->peers,
        this->load,
        this->crashQuarantine,
        this->promptParts,
        PeerExchange::Hooks{.announcedState =
                                [this] {
                                    return AnnouncedState{.ready = this->ready(),
                                                          .leaving = this->stopping(),
                                                          .configRevision = this->config ? this->config->revision : 0,
                                                          .upstreamRevision = this->upstreamRevision,
                                                          .jobRevision = this->jobs->newestRevision(),
                                                          .storeSilent = this->loop.now() < this->storeUnansweredAt + storeSilenceAnnounceDuration,
                                                          .watchesStore = this->relayedStore.watchesStore()};
                                },
                            .announcementReceived = [this](const Peer &peer) { this->onPeerAnnouncement(peer); },
                            .promptPartChanged =
                                [this](std::uint64_t part, PartChange change) {
                                    this->log.write(change == PartChange::Quarantined ? "prompt_part_quarantined" : "prompt_part_lifted",
                                                    {{"promptPart", absl::StrCat(absl::Hex(part))}, {"reported", true}});
                                },
                            .leavingUpstreamAnnounced = [this](const UpstreamRun &run) { this->recordStatedLeaving(run, "host"); },
                            .messageReceived =
                                [this](const Peer &sender, const peer::HostState &message) {
                                    this->streamOrigins->receive(sender, message);
                                    this->quotas->receive(sender, message);
                                    if (this->configConfirmation) {
                                        this->configConfirmation->receive(sender, message);
                                    }
                                },
                            .limitReports = [this](bool recentOnly) { return this->limiter.reports(recentOnly, this->loop.now()); },
                            .limitReported = [this](const LimitReport &report) { this->limiter.merge(report); }});
    this->settings.peerAddress = this->peerExchange->address();
}

void EntryHost::createJobs(std::uint64_t incarnation)
{
    this->jobs = std::make_unique<JobService>(
        JobContext{.attempts = this->attemptContext(),
                   .store = *this->platform.store,
                   .choice = this->upstreamSelector,
                   .upstreams = this->upstreams,
                   .log = this->log,
                   .metrics = this->metrics,
                   .host = this->settings.name,
                   .writerId = absl::StrCat(this->settings.name, ".", incarnation),
                   .config = [this] { return this->config; },
                   .selectRunningHost = [this](const std::string &jobId, const std::string &owner) { return this->runningHost(jobId, owner); },
                   .takeoverRank = [this](const std::string &jobId, const std::string &runner) { return this->takeoverRankOf(jobId, runner); },
                   .reportUnansweredCall = [this] { this->onStoreFailed("job call", StoreResult::Unanswered); },
                   .loadAge = [this] { return this->peerExchange->nearLoadAge(); }});
    this->jobCalls = std::make_unique<JobCallHandler>(JobCallContext{.loop = this->loop,
                                                                     .jobs = *this->jobs,
                                                                     .peers = this->peers,
                                                                     .peerClient = this->peerClient,
                                                                     .protocol = this->platform.serving,
                                                                     .log = this->log,
                                                                     .metrics = this->metrics,
                                                                     .host = this->settings.name,
                                                                     .stopping = [this] { return this->stopping(); },
                                                                     .renewJobWatch = [this] { this->jobWatcher->renewWatch(); }});
}

void EntryHost::createCallerRequests()
{
    if (this->settings.hedgeShare > 0.0) {
        this->hedges = std::make_unique<HedgePlanner>(HedgeLimits{.share = this->settings.hedgeShare, .percentile = this->settings.hedgePercentile});
    }
    this->callerRequests = std::make_unique<CallerRequestHandler>(CallerRequestContext{
        .protocol = this->platform.serving,
        .jobCalls = *this->jobCalls,
        .online = this->onlineContext(),
        .config = [this] { return this->config; },
        .routingKnown = [this] { return this->routingKnown(); },
        .routingExpected = [this] { return this->routingExpected(); },
        .unconfirmedRefusal = [this](const std::string &id) { return this->unconfirmedRefusal(id); },
        .takesUntil = [this](absl::Time deadline) { return !this->stopPlan || this->stopPlan->mayTake(this->loop.now(), deadline); },
        .admitToQuota = [this](const std::string &organisation, auto done) { this->quotas->admit(organisation, std::move(done)); },
        .giveBackToken = [this](const std::string &organisation, const QuotaDecision &decision) { this->quotas->giveBack(organisation, decision); },
        .randomFraction = [this] { return this->randomFraction(); }});
}

void EntryHost::createStreamOrigins()
{
    this->registrationReader = std::make_unique<RegistrationReader>(
        RegistrationReader::Context{.loop = this->loop,
                                    .store = *this->platform.store,
                                    .log = this->log,
                                    .kind = this->platform.upstreamKind,
                                    .decode = this->platform.decodeUpstream,
                                    .reportUnansweredCall = [this] { this->onStoreFailed("registration read", StoreResult::Unanswered); }});
    this->streamOrigins = std::make_unique<StreamOriginExchange>(
        this->loop,
        this->settings.name,
        this->peers,
        StreamOriginExchange::Hooks{
            .send = [this](const Peer &peer, const auto &fill) { this->peerExchange->sendTo(peer, fill); },
            .soleVersion = [this](const std::string &service) { return this->soleVersion(service); },
            .confirmSoleVersion =
                [this](const std::string &service, const SoleVersion &sole, auto done) { this->confirmSoleVersion(service, sole, std::move(done)); },
            .hasSeveralVersions = [this](const std::string &service) { return this->hasSeveralVersions(service); },
            .hasOtherVersions = [this](const std::string &service, const std::string &version) { return this->versions.hasOther(service, version); }});
}

void EntryHost::createPeerDiscovery()
{
    this->peerDiscovery = std::make_unique<PeerDiscovery>(PeerDiscovery::Context{.loop = this->loop,
                                                                                 .store = *this->platform.store,
                                                                                 .exchange = *this->peerExchange,
                                                                                 .peers = this->peers,
                                                                                 .log = this->log,
                                                                                 .randomFraction = [this] { return this->randomFraction(); },
                                                                                 .hostsListed =
                                                                                     [this](std::size_t hosts, bool includesThisHost) {
                                                                                         this->startPlan.recordRegisteredHosts(hosts, includesThisHost);
                                                                                         this->startWatchersWhenDue();
                                                                                     }},
                                                          this->settings.name,
                                                          this->settings.peerAddress);
}

void EntryHost::startServers()
{
    const auto connections = static_cast<std::size_t>(this->settings.maxConnections);
    this->entryServer =
        std::make_unique<HttpServer>(this->loop, this->settings.entryAddress, connections, [this](const auto &call) { this->callerRequests->handle(call); });
    this->readyServer =
        std::make_unique<HttpServer>(this->loop, this->settings.readyAddress, controlConnections, [this](const auto &call) { this->onReadyRequest(call); });
    this->directoryServer =
        std::make_unique<HttpServer>(this->loop, this->settings.directoryAddress, connections, [this](const auto &call) { this->onDirectoryRequest(call); });
    this->controlServer =
        std::make_unique<HttpServer>(this->loop, this->settings.controlAddress, controlConnections, [this](const auto &call) { this->onControlRequest(call); });
    this->metricsServer =
        std::make_unique<HttpServer>(this->loop, this->settings.metricsAddress, controlConnections, [this](const auto &call) { this->onMetricsRequest(call); });
    this->settings.entryAddress = this->entryServer->address();
    this->settings.readyAddress = this->readyServer->address();
    this->settings.directoryAddress = this->directoryServer->address();
    this->settings.controlAddress = this->controlServer->address();
    this->settings.metricsAddress = this->metricsServer->address();
    this->limitCallers();
}

void EntryHost::limitCallers()
{
    this->callerBudget = std::make_shared<CallerBudget>(
        this->settings.memoryMb, this->settings.maxDescriptors, [&log = this->log](CallerLimit limit, const std::string &address, std::uint64_t leftOut) {
            log.write("caller_limited", {{"limit", callerLimitName(limit)}, {"address", address}, {"leftOut", leftOut}});
        });
    this->entryServer->useBudget(this->callerBudget, CallerClass::Caller);
    this->directoryServer->useBudget(this->callerBudget, CallerClass::Caller);
    this->metricsServer->useBudget(this->callerBudget, CallerClass::Caller);
    this->controlServer->useBudget(this->callerBudget, CallerClass::Host);
    this->readyServer->useBudget(this->callerBudget, CallerClass::Check);
}

const EntrySettings &EntryHost::currentSettings() const
{
    return this->settings;
}

double EntryHost::randomFraction()
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(this->random);
}

KindWatcher::Hooks EntryHost::failureHooks(const std::string &kind)
{
    return {.listed = {},
            .changed = {},
            .storeFailed = [this, kind](StoreResult result) { this->onStoreFailed(kind, result); },
            .storeRecovered = [this] { this->onStoreRecovered(); }};
}

void EntryHost::createQuotas()
{
    const LimitMember self{.name = this->settings.name, .dataCentre = this->settings.dataCentre, .region = this->settings.region};
    this->quotas =
        std::make_unique<QuotaExchange>(this->loop,
                                        self,
                                        this->peers,
                                        this->log,
                                        this->metrics,
                                        this->random(),
                                        QuotaExchange::Hooks{.send = [this](const Peer &peer, const auto &fill) { this->peerExchange->sendTo(peer, fill); },
                                                             .expectsOthers = [this] { return this->peerExchange->knowsAddresses(); },
                                                             .receiveDelay = [this] { return this->peerExchange->receiveDelay(); }});
}

void EntryHost::createConfigConfirmation()
{
    if (this->settings.revocationBound == absl::ZeroDuration()) {
        return;
    }
    this->configConfirmation = std::make_unique<ConfigConfirmation>(
        ConfigConfirmation::Context{.loop = this->loop,
                                    .store = *this->platform.store,
                                    .peers = this->peers,
                                    .log = this->log,
                                    .metrics = this->metrics,
                                    .kind = this->platform.configKind,
                                    .name = this->platform.configName,
                                    .host = this->settings.name,
                                    .dataCentre = this->settings.dataCentre,
                                    .region = this->settings.region,
                                    .send = [this](const Peer &peer, const auto &fill) { this->peerExchange->sendTo(peer, fill); },
                                    .appliedRevision = [this] { return this->configWatcher->reportedRevision(); },
                                    .apply = [this](const ObjectRecord &object) { this->applyConfig(object); },
                                    .fetch = [this](const Peer &peer) { this->fetchConfig(peer); },
                                    .watchesStore = [this] { return this->relayedStore.watchesStore(); },
                                    .randomFraction = [this] { return this->randomFraction(); }},
        this->settings.revocationBound);
}

void EntryHost::createWatchers()
{
    KindWatcher::Hooks hooks = this->failureHooks(this->platform.configKind);
    if (this->configConfirmation) {
        hooks.confirmed = [this](absl::Time includesUntil) { this->configConfirmation->confirmByStore(includesUntil); };
    }
    hooks.listed = [this](const std::vector<ObjectRecord> &objects) {
        for (const ObjectRecord &object : objects) {
            this->applyConfig(object);
        }
    };
    hooks.changed = [this](const ObjectChange &change) {
        if (!change.removed) {
            this->applyConfig(change.object);
        }
    };
    const KindWatcher::Timing configTiming{.watchWait = configWatchWait, .coalesce = absl::ZeroDuration(), .retry = configRetryDelay};
    this->configWatcher = std::make_unique<KindWatcher>(this->loop, this->relayedStore, this->platform.configKind, configTiming, hooks);

    hooks = this->failureHooks(this->platform.upstreamKind);
    hooks.listed = [this](const std::vector<ObjectRecord> &objects) { this->applyUpstreams(objects); };
    hooks.changed = [this](const ObjectChange &change) { this->applyUpstreamChange(change); };
    const KindWatcher::Timing upstreamTiming{.watchWait = watchWait, .coalesce = baseUpstreamCoalesce, .retry = defaultRetryDelay};
    this->upstreamWatcher = std::make_unique<KindWatcher>(this->loop, this->relayedStore, this->platform.upstreamKind, upstreamTiming, hooks);

    hooks = this->failureHooks(JobArchive::headerKind);
    hooks.listed = [this](const std::vector<ObjectRecord> &objects) { this->jobs->setHeaders(objects); };
    hooks.changed = [this](const ObjectChange &change) { this->jobs->changeHeader(change); };
    const KindWatcher::Timing jobTiming{.watchWait = watchWait, .coalesce = baseJobCoalesce, .retry = defaultRetryDelay};
    this->jobWatcher = std::make_unique<KindWatcher>(this->loop, this->relayedStore, JobArchive::headerKind, jobTiming, hooks);
}

void EntryHost::startWatchersWhenDue()
{
    if (this->jobWatcherStarted) {
        return;
    }
    const absl::Time now = this->loop.now();
    const KnownPeers known{.count = this->peers.size(), .lastFound = this->peerExchange->lastPeerFoundAt()};
    if (!this->routingWatchersStarted && this->startPlan.mayListRouting(known, now)) {
        this->routingWatchersStarted = true;
        this->configWatcher->start();
        this->upstreamWatcher->start();
    }
    if (this->startPlan.mayListJobs(known, this->routingKnown(), now)) {
        this->jobWatcherStarted = true;
        this->jobWatcher->start();
        return;
    }
    this->startTimer = this->loop.after(startCheckPeriod, [this] { this->startWatchersWhenDue(); });
}

// The answer that brought the routing data also confirms the view of the configuration, after they have been applied.
void EntryHost::releaseWaitingRequests()
{
    this->releaseTimer = this->loop.after(absl::ZeroDuration(), [this] { this->callerRequests->handleWaiting(); });
}

bool EntryHost::routingKnown() const
{
    return this->config != nullptr && this->upstreamsKnown;
}

bool EntryHost::routingExpected() const
{
    return !this->stopping() && this->startPlan.routingExpected(this->storeAvailable, this->loop.now());
}

void EntryHost::onStoreFailed(const std::string &kind, StoreResult result)
{
    if (result == StoreResult::Unanswered) {
        this->storeUnansweredAt = this->loop.now();
    }
    if (this->storeAvailable) {
        this->storeAvailable = false;
        this->upstreams.registryLost(this->loop.now());
        this->log.write("store_lost", {{"kind", kind}, {"unanswered", result == StoreResult::Unanswered}});
        this->restartWatches();
    }
}

void EntryHost::restartWatches()
{
    this->configWatcher->restart();
    this->upstreamWatcher->restart();
    this->jobWatcher->restart();
}

void EntryHost::onStoreRecovered()
{
    if (!this->storeAvailable) {
        this->storeAvailable = true;
        this->upstreams.registryRegained(this->loop.now());
        this->log.write("store_regained", {});
    }
    this->retryWatches();
}

void EntryHost::retryWatches()
{
    this->configWatcher->retryNow();
    this->upstreamWatcher->retryNow();
    this->jobWatcher->retryNow();
}

void EntryHost::applyConfig(const ObjectRecord &object)
{
    if (object.name != this->platform.configName || !this->configVersions.needsDecoding(object.revision)) {
        return;
    }
    DecodedConfig decoded = this->platform.decodeConfig(object);
    if (const auto *rejection = std::get_if<ConfigRejection>(&decoded)) {
        this->rejectConfig(object.revision, *rejection);
        return;
    }
    this->config = std::make_shared<const RoutingConfig>(std::get<RoutingConfig>(std::move(decoded)));
    this->configVersions.recordInForce(object.revision);
    this->configBehindSince = absl::InfiniteFuture();
    this->configObject = object.toJson();
    this->quotas->setOrganisations(this->config->organisations ? this->config->organisations->organisations() : std::vector<Organisation>());
    this->entryServer->setBounds(this->config->callerBounds);
    this->releaseWaitingRequests();
    this->log.write("config_in_force",
                    {{"revision", object.revision},
                     {"version", this->config->version},
                     {"routes", static_cast<std::uint64_t>(this->config->routes.size())},
                     {"organisations", static_cast<std::uint64_t>(this->config->organisations ? this->config->organisations->organisations().size() : 0)},
                     {"keys", static_cast<std::uint64_t>(this->config->organisations ? this->config->organisations->keyCount() : 0)}});
    if (this->configConfirmation) {
        this->configConfirmation->recordVersion(object.revision);
    }
}

void EntryHost::rejectConfig(std::uint64_t revision, const ConfigRejection &rejection)
{
    this->configVersions.recordRejected(revision);
    const bool invalid = rejection.cause == ConfigRejection::Cause::Invalid;
    this->metrics.recordRejectedConfig(invalid ? "invalid" : "unreadable");
    if (invalid) {
        this->log.write("config_invalid", {{"revision", revision}, {"entry", rejection.entry}, {"problem", rejection.problem}});
    } else {
        this->log.write("config_unreadable", {{"revision", revision}});
    }
}

void EntryHost::applyUpstreams(const std::vector<ObjectRecord> &objects)
{
    std::vector<UpstreamInfo> decoded;
    this->upstreamObjects.clear();
    for (const ObjectRecord &object : objects) {
        this->upstreamRevision = std::max(this->upstreamRevision, object.revision);
        if (const auto upstream = this->platform.decodeUpstream(object)) {
            decoded.push_back(*upstream);
            this->upstreamObjects[object.name] = object.toJson();
        } else {
            this->log.write("upstream_unreadable", {{"upstream", object.name}, {"revision", object.revision}});
        }
    }
    this->upstreamsKnown = true;
    this->upstreams.replaceAll(decoded, this->loop.now());
    // A list does not tell which upstreams have come and gone since the last change that this host knew.
    this->versions.interrupt();
    this->observeVersions();
    this->releaseWaitingRequests();
    this->log.write("upstreams_listed", {{"upstreams", static_cast<std::uint64_t>(decoded.size())}});
}

void EntryHost::applyUpstreamChange(const ObjectChange &change)
{
    const std::string &id = change.object.name;
    this->upstreamRevision = std::max(this->upstreamRevision, change.object.revision);
    const UpstreamInfo *known = this->upstreams.find(id);
    const std::string address = known == nullptr ? std::string() : known->address;
    const auto upstream = change.removed ? std::nullopt : this->platform.decodeUpstream(change.object);
    this->log.write("upstream_changed",
                    {{"upstream", id},
                     {"revision", change.object.revision},
                     {"removed", change.removed},
                     {"leaving", upstream && upstream->leaving},
                     {"readable", upstream.has_value()}});
    if (!upstream) {
        this->upstreams.remove(id, this->loop.now());
        this->upstreamObjects.erase(id);
        this->upstreamClient.closeIdleConnections(address);
        return;
    }
    if (known != nullptr && known->startedAtMs != upstream->startedAtMs) {
        this->health.remove(id);
        this->upstreamClient.closeIdleConnections(address);
    }
    this->upstreams.put(*upstream);
    this->observeVersions();
    this->upstreamObjects[id] = change.object.toJson();
}

AttemptContext EntryHost::attemptContext()
{
    return {.loop = this->loop,
            .client = this->upstreamClient,
            .load = this->load,
            .health = this->health,
            .protocol = this->platform.serving,
            .collectedBytes = this->collectedBytes,
            .statedLeaving = [this](const LeavingStatement &statement) { this->onStatedLeaving(statement); },
            .statedLimit = [this](const LimitStatement &statement) { this->onStatedLimit(statement); },
            .requestSent = [this](const UpstreamInfo &upstream) { this->limiter.recordStart(upstream, this->loop.now()); }};
}

void EntryHost::onStatedLeaving(const LeavingStatement &statement)
{
    // When another upstream has the address and leaves, requests for the expected one would reach it, too.
    std::vector<UpstreamRun> leaving{statement.expected.run()};
    const UpstreamInfo *sender = statement.sender ? this->upstreams.find(*statement.sender) : nullptr;
    if (sender != nullptr && sender->address == statement.expected.address) {
        leaving.push_back(sender->run());
    }
    for (const UpstreamRun &run : leaving) {
        // What another host has announced is not announced again, and an announcement without a start could come too late and then
        // mean a former run.
        if (this->recordStatedLeaving(run, "answer") && run.startedAtMs != 0) {
            this->peerExchange->announceLeavingUpstream(run);
        }
    }
}

bool EntryHost::recordStatedLeaving(const UpstreamRun &run, const std::string &source)
{
    if (!this->upstreams.recordStatedLeaving(run)) {
        return false;
    }
    this->log.write("upstream_states_leaving", {{"upstream", run.id}, {"startedAtMs", run.startedAtMs}, {"source", source}});
    this->metrics.recordLeavingUpstream(source);
    return true;
}

void EntryHost::observeVersions()
{
    if (this->upstreamsKnown) {
        this->versions.observe(this->upstreams.all(), this->loop.now());
    }
}

std::optional<SoleVersion> EntryHost::soleVersion(const std::string &service) const
{
    if (!this->config) {
        return std::nullopt;
    }
    const auto version = this->versions.soleVersion(service, this->takeUpPeriod(service), this->loop.now());
    if (!version) {
        return std::nullopt;
    }
    return SoleVersion{.version = *version, .knownUntilRevision = this->upstreamWatcher->reportedRevision()};
}

void EntryHost::confirmSoleVersion(const std::string &service, const SoleVersion &sole, std::function<void(bool)> done)
{
    if (!this->storeAvailable) {
        done(false);
        return;
    }
    this->registrationReader->readSince(sole.knownUntilRevision, [service, version = sole.version, done = std::move(done)](const auto &registered) {
        const auto isOther = [&](const UpstreamInfo &upstream) { return upstream.service == service && upstream.softwareVersion != version; };
        done(registered && std::ranges::none_of(*registered, isOther));
    });
}

bool EntryHost::hasSeveralVersions(const std::string &service) const
{
    return this->config && this->versions.hasSeveral(service, this->takeUpPeriod(service), this->loop.now());
}

absl::Duration EntryHost::takeUpPeriod(const std::string &service) const
{
    absl::Duration longest = absl::ZeroDuration();
    for (const Route &route : this->config->routes) {
        if (std::ranges::any_of(route.targets, [&service](const RouteTarget &target) { return target.service == service; })) {
            longest = std::max(longest, route.timeout);
        }
    }
    return takeUpTimeouts * longest;
}

void EntryHost::onStatedLimit(const LimitStatement &statement)
{
    if (!this->limiter.recordStatement(statement.upstream, statement.requestsPerSecond, this->loop.now())) {
        return;
    }
    this->log.write("upstream_states_limit",
                    {{"upstream", statement.upstream.id},
                     {"startedAtMs", statement.upstream.startedAtMs},
                     {"limited", statement.requestsPerSecond.has_value()},
                     {"requestsPerSecond", statement.requestsPerSecond.value_or(0)}});
}

void EntryHost::onPeerAnnouncement(const Peer &peer)
{
    const std::uint64_t own = this->config ? this->config->revision : 0;
    if (peer.configRevision > own) {
        this->requestConfigFromPeer(peer);
    }
    if (peer.upstreamRevision > this->relayedStore.revision(this->platform.upstreamKind)) {
        this->upstreamLag.recordAnnounced(peer.upstreamRevision);
    }
    this->jobLag.recordAnnounced(peer.jobRevision);
    if (peer.storeSilent && this->storeAvailable && this->loop.now() > this->peerStoreNoticeAt + storeNoticeInterval) {
        this->peerStoreNoticeAt = this->loop.now();
        this->log.write("store_silent_elsewhere", {{"peer", peer.name}});
        this->restartWatches();
        // The store may still answer this host, so it lists at once instead of after the retry delay.
        this->retryWatches();
    }
}

void EntryHost::adjustWatchTimings()
{
    this->upstreamSelector.setFarLoadAge(this->peerExchange->farLoadAge());
    const absl::Time now = this->loop.now();
    // A host that follows a relay needs no delay between watches, because the relay's own watch already collects changes.
    double scale = 0.0;
    if (this->relayedStore.watchesStore()) {
        scale = std::max(1.0, static_cast<double>(this->relaySelector.directWatcherCount(now)) / static_cast<double>(maxWatchersWithoutScaling));
    }
    this->configWatcher->setTiming(
        {.watchWait = std::min(watchWait, configWatchWait * std::max(1.0, scale)), .coalesce = absl::ZeroDuration(), .retry = configRetryDelay});
    this->upstreamWatcher->setTiming(
        {.watchWait = watchWait, .coalesce = std::min(maxUpstreamCoalesce, baseUpstreamCoalesce * scale), .retry = defaultRetryDelay});
    this->jobWatcher->setTiming({.watchWait = watchWait, .coalesce = std::min(maxJobCoalesce, baseJobCoalesce * scale), .retry = defaultRetryDelay});
}

void EntryHost::relistUpstreamsIfBehind(absl::Time now)
{
    const std::uint64_t revision = this->relayedStore.revision(this->platform.upstreamKind);
    if (this->upstreamLag.fetchDue(revision, now)) {
        this->log.write("upstreams_behind", {{"revision", revision}, {"newest", this->upstreamLag.newest()}});
        this->relayedStore.excludeRelays();
        this->upstreamWatcher->restart();
        this->upstreamWatcher->retryNow();
    }
}

// The store may have lost the answer to the watch alone, while other calls are answered.
void EntryHost::renewJobWatchIfBehind(absl::Time now)
{
    const std::uint64_t revision = this->jobWatcher->reportedRevision();
    if (this->jobLag.fetchDue(revision, now)) {
        this->log.write("jobs_behind", {{"revision", revision}, {"newest", this->jobLag.newest()}});
        this->jobWatcher->renewWatch();
    }
}

absl::Duration EntryHost::configRequestDelay(const Peer &peer) const
{
    if (this->peers.size() <= PeerTable::maxFullMeshPeers) {
        return absl::ZeroDuration();
    }
    // In a large fleet the relays distribute a new configuration. If all hosts requested it from each other too, that would
    // saturate the links.
    if (peer.dataCentre == this->settings.dataCentre) {
        return RevisionLag::maxLag;
    }
    return RevisionLag::maxLag * (peer.region == this->settings.region ? 2 : 4);
}

void EntryHost::requestConfigFromPeer(const Peer &peer)
{
    const absl::Time now = this->loop.now();
    this->configBehindSince = std::min(this->configBehindSince, now);
    if (now >= this->configBehindSince + this->configRequestDelay(peer)) {
        this->fetchConfig(peer);
    }
}

void EntryHost::fetchConfig(const Peer &peer)
{
    if (this->configRequestPending) {
        return;
    }
    this->configRequestPending = true;
    this->peerClient.send(peer.controlAddress,
                          {.method = "GET", .target = snapshotPath, .fields = {}, .body = {}},
                          snapshotResponseTimeout,
                          [this](const std::optional<HttpResponse> &response) {
                              this->configRequestPending = false;
                              if (response && response->head.status == 200) {
                                  this->applySnapshot(response->body);
                              }
                          });
}

nlohmann::json EntryHost::snapshot() const
{
    nlohmann::json upstreamList = nlohmann::json::array();
    for (const auto &[id, object] : this->upstreamObjects) {
        upstreamList.push_back(object);
    }
    return {{"config", this->configObject}, {"upstreams", upstreamList}};
}

void EntryHost::applySnapshot(const std::string &body)
{
    try {
        const nlohmann::json json = parseLimitedJson(body);
        if (json.at("config").is_object()) {
            this->applyConfig(ObjectRecord::fromJson(json.at("config")));
        }
        if (!this->upstreamsKnown) {
            std::vector<ObjectRecord> objects;
            for (const nlohmann::json &object : json.at("upstreams")) {
                objects.push_back(ObjectRecord::fromJson(object));
            }
            this->applyUpstreams(objects);
        }
    } catch (const nlohmann::json::exception &error) {
        this->log.write("snapshot_unreadable", {{"error", error.what()}});
    }
}

void EntryHost::onReadyRequest(const std::shared_ptr<HttpExchange> &request)
{
    const bool isCheck = this->platform.isReadinessCheck(request->request());
    request->respond(jsonResponse(isCheck ? (this->ready() ? 200 : 503) : 404, "{}"));
}

void EntryHost::onMetricsRequest(const std::shared_ptr<HttpExchange> &request)
{
    this->metrics.setGauge("prompt_parts_quarantined",
                           static_cast<double>(this->promptParts.quarantinedParts(PromptPartQuarantine::maxParts, this->loop.now()).size()));
    this->metrics.setGauge("upstreams_limited", static_cast<double>(this->limiter.currentShares().limitedUpstreams()));
    this->metrics.setGauge("upstream_limits_held", static_cast<double>(this->limiter.currentShares().heldUpstreams()));
    this->quotas->updateMetrics();
    if (this->configConfirmation) {
        this->configConfirmation->reportMetrics();
    }
    this->metrics.setGauge("calls", static_cast<double>(this->callerRequests->onlineCalls()));
    this->metrics.setGauge("items_running", static_cast<double>(this->jobs->runningItems()));
    this->metrics.setGauge("peers_live", static_cast<double>(this->peers.liveHosts(this->loop.now()).size()));
    for (const CallerLimit limit : {CallerLimit::Connections, CallerLimit::BodyRefused, CallerLimit::Bytes, CallerLimit::Rate}) {
        this->metrics.setGauge(absl::StrCat("callers_limited_", callerLimitName(limit)), static_cast<double>(this->callerBudget->count(limit)));
    }
    this->metrics.setGauge("caller_bytes_held", static_cast<double>(this->callerBudget->bytes(CallerClass::Caller)));
    this->metrics.setGauge("log_lines_dropped", static_cast<double>(this->log.droppedLines()));
    this->metrics.setGauge("upstream_connections_opened", static_cast<double>(this->upstreamClient.connectionsOpened()));
    request->respond({.head = {.status = 200, .fields = {{"Content-Type", "text/plain; version=0.0.4"}}}, .body = this->metrics.text()});
}

void EntryHost::onDirectoryRequest(const std::shared_ptr<HttpExchange> &request)
{
    const auto query = this->platform.decodeDirectoryQuery(request->request());
    if (!query) {
        request->respond(failureResponse(404, "no_such_call", "this address answers only which addresses to use", "not_run"));
        return;
    }
    std::vector<std::string> addresses = selectEntryAddresses(this->readyEndpoints(), query->region, query->dataCentre);
    if (addresses.empty() && !this->routingKnown() && this->routingExpected()) {
        // When all hosts start at once, none is ready, and a caller without an address would give up before the first one is.
        addresses.push_back(this->settings.entryAddress);
    }
    if (addresses.empty()) {
        request->respond(notRunResponse("no_ready_host", "no host is ready", startingRetryAfter));
        return;
    }
    request->respond(this->platform.encodeAddresses(addresses, this->settings.addressTimeToLive));
}

std::vector<EntryEndpoint> EntryHost::readyEndpoints() const
{
    std::vector<EntryEndpoint> entries;
    if (this->ready()) {
        entries.push_back({.address = this->settings.entryAddress, .region = this->settings.region, .dataCentre = this->settings.dataCentre});
    }
    for (const auto &[name, peer] : this->peers.all()) {
        if (peer.ready && PeerTable::isLive(peer, this->loop.now())) {
            entries.push_back({.address = peer.entryAddress, .region = peer.region, .dataCentre = peer.dataCentre});
        }
    }
    return entries;
}

void EntryHost::onControlRequest(const std::shared_ptr<HttpExchange> &request)
{
    if (RelayedStore::isRelayRequest(request->request())) {
        this->relayedStore.serve(request);
        return;
    }
    if (JobChangeNotice::matches(request->request())) {
        this->jobCalls->handleChangeNotice(request);
        return;
    }
    if (request->request().path() == snapshotPath) {
        request->respond(jsonResponse(200, this->snapshot().dump()));
        return;
    }
    const CallerCall call = this->platform.serving.decodeCall(request->request());
    if (call.kind == CallKind::Request) {
        request->respond(failureResponse(404, "no_such_call", "hosts forward only calls about jobs", "not_run"));
        return;
    }
    this->jobCalls->handleForwarded(request, call);
}

OnlineContext EntryHost::onlineContext()
{
    return {.attempts = this->attemptContext(),
            .choice = this->upstreamSelector,
            .upstreams = this->upstreams,
            .suspects = this->crashQuarantine,
            .promptParts = this->promptParts,
            .log = this->log,
            .metrics = this->metrics,
            .announceCrashes = [this](const auto &counts) { this->peerExchange->announceCrashes(counts); },
            .announcePromptParts = [this](const auto &parts) { this->peerExchange->announcePromptParts(parts); },
            .trialDelay = [this](std::uint64_t part) { return this->trialDelay(part); },
            .recordBegin = [this](const std::string &id, const StreamOrigin &origin) { this->streamOrigins->recordBegin(id, origin); },
            .findOrigin = [this](const std::string &id, const std::string &service, auto done) { this->streamOrigins->lookUp(id, service, std::move(done)); },
            .reserveReturn = [this](const std::string &service) { return this->limiter.reserveReturn(service, this->loop.now()); },
            .hedges = this->hedges.get(),
            .stopping = [this] { return this->stopping(); }};
}

std::string EntryHost::runningHost(const std::string &jobId, const std::string &owner) const
{
    if (owner == this->settings.name || this->peers.isLive(owner, this->loop.now())) {
        return owner;
    }
    return rendezvousPick(jobId, takeoverCandidates(this->peers, this->settings.name, this->settings.dataCentre, owner, this->loop.now()));
}

std::optional<std::size_t> EntryHost::takeoverRankOf(const std::string &jobId, const std::string &runner) const
{
    const absl::Time now = this->loop.now();
    if (runner == this->settings.name || this->peers.isLive(runner, now)) {
        return std::nullopt;
    }
    return takeoverRank(this->peers, jobId, this->settings.name, this->settings.dataCentre, runner, now);
}

absl::Duration EntryHost::trialDelay(std::uint64_t part) const
{
    std::vector<std::string> names{this->settings.name};
    for (const Peer &peer : this->peers.liveHosts(this->loop.now())) {
        names.push_back(peer.name);
    }
    const std::vector<std::string> order = rendezvousOrder(absl::StrCat(absl::Hex(part)), std::move(names));
    // The first host may get no request with the part, for example when they all come from another region.
    return trialDelayPerHost * static_cast<double>(std::ranges::find(order, this->settings.name) - order.begin());
}

std::optional<HttpResponse> EntryHost::unconfirmedRefusal(const std::string &requestId) const
{
    return this->configConfirmation ? this->configConfirmation->refusal(requestId) : std::nullopt;
}

bool EntryHost::ready() const
{
    const bool mayServeKeyed = !this->configConfirmation || this->configConfirmation->mayServeKeyed();
    return this->routingKnown() && mayServeKeyed && !this->stopping();
}

void EntryHost::tick()
{
    this->tickTimer = this->loop.after(tickPeriod, [this] { this->tick(); });
    const absl::Time now = this->loop.now();
    if (const absl::Duration suspendedFor = now - this->lastTickAt - tickPeriod; suspendedFor > maxTickDelay) {
        // The process was suspended or got no CPU time. Announcements that arrived meanwhile have not been read yet, so the other
        // hosts must not time out for their absence.
        this->log.write("stood_still", {{"forMs", suspendedFor}});
        this->peers.postponeTimeouts(suspendedFor);
    }
    this->lastTickAt = now;
    this->upstreams.expire(now);
    this->load.expire(now);
    this->limiter.tick(now);
    this->quotas->tick();
    if (now >= this->watchTimingsAdjustedAt + watchTimingPeriod) {
        this->watchTimingsAdjustedAt = now;
        this->adjustWatchTimings();
        this->observeVersions();
    }
    this->relayedStore.tick();
    this->relistUpstreamsIfBehind(now);
    this->renewJobWatchIfBehind(now);
    if (this->configConfirmation) {
        this->configConfirmation->tick();
    }
    this->callerRequests->checkProgress(now);
    this->jobs->tick();
}

void EntryHost::reload(const EntrySettings &changed)
{
    this->settings.addressTimeToLive = changed.addressTimeToLive;
    this->settings.stopGrace = changed.stopGrace;
    this->settings.seeds = changed.seeds;
    this->log.write("settings_reloaded", {{"addressTimeToLiveMs", changed.addressTimeToLive}, {"stopGraceMs", changed.stopGrace}});
}

bool EntryHost::stopping() const
{
    return this->stopPlan.has_value();
}

void EntryHost::stop()
{
    if (this->stopPlan) {
        return;
    }
    this->stopPlan.emplace(this->loop.now(), this->settings.stopGrace, this->settings.addressTimeToLive);
    this->log.write(
        "stopping",
        {{"calls", static_cast<std::uint64_t>(this->callerRequests->onlineCalls())}, {"items", static_cast<std::uint64_t>(this->jobs->runningItems())}});
    this->jobs->stop();
    this->limiter.leave(this->loop.now());
    this->quotas->leave();
    this->relayedStore.stopServingFollowers();
    this->peerExchange->announceNow();
    this->entryServer->closeAfterResponses();
    this->checkStopProgress();
}

void EntryHost::checkStopProgress()
{
    const absl::Time now = this->loop.now();
    if (now >= this->stopPlan->stopAcceptingAt()) {
        this->entryServer->stopAccepting();
    }
    if (now >= this->stopPlan->closeIdleAt()) {
        this->entryServer->closeIdle();
    }
    if (now >= this->stopPlan->answerReadsAt()) {
        this->jobCalls->answerWaitingReads();
    }
    if (now >= this->stopPlan->answerRequestsAt()) {
        this->answerRequestsBeforeStop();
    }
    const bool drained = now >= this->stopPlan->stopAcceptingAt() && this->entryServer->connections() == 0;
    if (drained || now >= this->stopPlan->endAt()) {
        this->log.write("stopped", {{"calls", static_cast<std::uint64_t>(this->callerRequests->onlineCalls())}, {"afterMs", now - this->stopPlan->started()}});
        this->log.flush();
        this->onStopped();
        return;
    }
    this->stopTimer = this->loop.after(tickPeriod, [this] { this->checkStopProgress(); });
}

void EntryHost::answerRequestsBeforeStop()
{
    this->entryServer->rejectPartlyReceived(notRunResponse("stopping", "this host is stopping", absl::ZeroDuration()));
    this->callerRequests->answerBeforeStop();
    // The others are calls about jobs, some of which wait for the store or for another host and may have taken effect.
    this->entryServer->answerInProgress(unknownOutcomeResponse("stopping", "this host stopped before the request was complete"));
}

} // namespace Bergamotramp
