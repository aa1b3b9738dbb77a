#include "Host.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <glog/logging.h>

#include "JsonReader.h"
#include "LimitedJson.h"
#include "MemberUpdate.h"

namespace Bergamotramp {

namespace {

constexpr int statusBadRequest = 400;
constexpr int statusNotFound = 404;
constexpr int statusConflict = 409;
constexpr int statusUnavailable = 503;
constexpr absl::Duration connectTimeout = absl::Seconds(1);
constexpr absl::Duration drainTickPeriod = absl::Milliseconds(50);
// An online request may run two attempts at once, the first and a hedge.
constexpr std::size_t attemptsPerRequest = 2;

CallerError toCallerError(const BatchError &error)
{
    int status = statusBadRequest;
    if (error.code() == "not_found") {
        status = statusNotFound;
    } else if (error.code() == "conflict") {
        status = statusConflict;
    } else if (error.code() == "store_unavailable" || error.code() == "draining") {
        status = statusUnavailable;
    }
    const RunState state = error.state() == "unknown" ? RunState::Unknown : RunState::NotRun;
    return CallerError({status, error.code(), error.what(), state, status == statusUnavailable ? absl::Seconds(2) : absl::ZeroDuration()});
}

/** Calls the batch service and converts a BatchError into a CallerError. */
template <typename Function>
auto callBatch(Function function)
{
    try {
        return function();
    } catch (const BatchError &error) {
        throw toCallerError(error);
    }
}

std::vector<ServiceSpec> readServices(const nlohmann::json &publication, std::uint64_t &baseGeneration)
{
    try {
        JsonReader reader(publication, "");
        baseGeneration = static_cast<std::uint64_t>(reader.requiredInteger("base_generation", {0, INT64_MAX}));
        std::vector<ServiceSpec> services;
        reader.optionalArray("services",
                             [&services](const nlohmann::json &element, const std::string &path) { services.push_back(ServiceSpec::fromJson(element, path)); });
        reader.rejectUnreadKeys();
        // Parsing the complete catalogue also detects services that are defined twice.
        return Catalogue::fromJsonText(Catalogue{baseGeneration, services}.toJsonText()).services;
    } catch (const JsonError &error) {
        throw CallerError({statusBadRequest, "invalid_service", error.what(), RunState::NotRun});
    }
}

} // namespace

Host::Host(HostSettings settings)
{
    this->context.settings = std::move(settings);
    this->context.incarnation = static_cast<std::uint64_t>(absl::ToUnixMillis(absl::Now()));
    const HostSettings &ownSettings = this->context.settings;
    this->events = std::make_unique<EventLog>(ownSettings.name, ownSettings.eventLog);
    this->timers = std::make_unique<TimerService>();
    this->store = std::make_unique<StoreClient>(StoreSettings{ownSettings.storeAddress, ownSettings.storeTimeout});
    this->upstreams = std::make_unique<UpstreamClient>(connectTimeout);
    this->workers = std::make_unique<WorkerPool>(static_cast<std::size_t>(ownSettings.limits.connections + ownSettings.batchConcurrency) * attemptsPerRequest);
    this->transport = std::make_unique<Transport>(ownSettings.peerAddress,
                                                  Transport::Hooks{[this](const wire::Envelope &envelope) { this->receive(envelope); },
                                                                   [this](wire::Envelope &envelope) { this->setSenderFields(envelope); }},
                                                  ownSettings.peerRoutes);
    this->createServers();
    this->createServices();
    this->connectServices();
    this->receiving = true;
    this->admin->start();
    this->callers->start();
    this->events->record("host-started", {{"incarnation", this->context.incarnation}, {"callerAddress", this->callers->address()}});
    LOG(INFO) << "host " << ownSettings.name << " serves callers on " << this->callers->address() << ", operators on " << this->admin->address();
}

Host::~Host()
{
    this->callers->stop();
    this->admin->stop();
    if (this->drainThread.joinable()) {
        this->drainThread.join();
    }
    this->receiving = false;
    // The configuration service is destroyed before the membership service, whose timer would still call these hooks.
    this->membership->setGenerationHooks({}, {});
    // Batch items and attempts use all other services, so they are stopped first.
    this->batch.reset();
    this->workers->stop();
}

// The addresses are bound before the services start, because the services announce the bound addresses to other hosts.
void Host::createServers()
{
    HostSettings &ownSettings = this->context.settings;
    const CallerLimits &limits = ownSettings.limits;
    this->callers = std::make_unique<CallerServer>(CallerServer::Limits{static_cast<std::size_t>(limits.bodyBytes),
                                                                        static_cast<std::size_t>(limits.jobBytes),
                                                                        static_cast<std::size_t>(limits.connections)},
                                                   this->callerHooks());
    this->admin = std::make_unique<AdminServer>(this->adminHooks());
    this->callers->bind(ownSettings.callerAddress);
    this->admin->bind(ownSettings.adminAddress);
    ownSettings.callerAddress = this->callers->address();
    ownSettings.adminAddress = this->admin->address();
    ownSettings.peerAddress = this->transport->address();
}

void Host::createServices()
{
    this->context.transport = this->transport.get();
    this->context.store = this->store.get();
    this->context.timers = this->timers.get();
    this->context.events = this->events.get();
    this->membership = std::make_unique<MembershipService>(this->context);
    this->context.liveHosts = [this] { return this->membership->liveHosts(); };
    this->config = std::make_unique<ConfigService>(this->context);
    this->context.catalogue = [this] { return this->config->catalogue(); };
    this->slots = std::make_unique<SlotService>(this->context);
    this->journal = std::make_unique<JournalService>(this->context);
    const ExchangeDependencies dependencies{
        this->slots.get(), this->upstreams.get(), this->workers.get(), this->events.get(), &this->retryLimiter, &this->metrics};
    this->requestHandler = std::make_unique<RequestHandler>(this->context, dependencies, *this->journal);
    this->batch = std::make_unique<BatchService>(
        this->context, [this](const JobHeader &job, const std::string &customId, const std::string &body, CallCancellation &cancellation) {
            return this->requestHandler->runItem(job, customId, body, cancellation);
        });
    this->orders = std::make_unique<OrderService>(this->context, *this->upstreams);
}

void Host::connectServices()
{
    this->membership->setGenerationHooks(
        [this] { return this->config->generation(); },
        [this](const std::string &peerAddress, std::uint64_t generation) { this->config->pullIfNewer(peerAddress, generation); });
    this->config->onChange([this] {
        this->events->record("configuration-adopted", {{"generation", this->config->generation()}});
        this->slots->catalogueChanged();
    });
    this->membership->onChange([this] { this->events->record("members-changed", {{"live", this->membership->liveHosts().size()}}); });
    this->slots->catalogueChanged();
}

const std::string &Host::callerAddress() const
{
    return this->callers->address();
}

const std::string &Host::adminAddress() const
{
    return this->admin->address();
}

const std::string &Host::peerAddress() const
{
    return this->transport->address();
}

void Host::setSenderFields(wire::Envelope &envelope)
{
    envelope.mutable_from()->set_name(this->context.settings.name);
    envelope.mutable_from()->set_incarnation(this->context.incarnation);
    envelope.set_hybrid_time(this->events->nextTimestamp());
}

void Host::receive(const wire::Envelope &envelope)
{
    if (!this->receiving) {
        return;
    }
    this->events->receiveTimestamp(envelope.hybrid_time());
    switch (envelope.body_case()) {
    case wire::Envelope::kPing:
    case wire::Envelope::kPingAck:
    case wire::Envelope::kPingRequest:
        this->membership->handle(envelope);
        return;
    case wire::Envelope::kConfigPull:
    case wire::Envelope::kConfigPush:
        this->config->handle(envelope);
        return;
    case wire::Envelope::kSlotRequest:
    case wire::Envelope::kSlotReply:
    case wire::Envelope::kSlotRelease:
    case wire::Envelope::kSlotRevoke:
    case wire::Envelope::kHeldSlots:
    case wire::Envelope::kSuspectNotice:
        this->slots->handle(envelope);
        return;
    case wire::Envelope::kJournalBegin:
    case wire::Envelope::kJournalFinish:
    case wire::Envelope::kJournalRead:
        this->journal->handle(envelope);
        return;
    default:
        // Late replies to requests that have timed out are ignored.
        return;
    }
}

CallerServer::Hooks Host::callerHooks()
{
    CallerServer::Hooks hooks;
    hooks.model = [this](const CallerRequest &request) { return this->requestHandler->handleModelRequest(request); };
    hooks.plainService = [this](const CallerRequest &request) { return this->requestHandler->handlePlainRequest(request); };
    hooks.recordedResponse = [this](const std::string &organisation, const std::string &service, const std::string &key) {
        return this->requestHandler->recordedResult(organisation, service, key);
    };
    hooks.models = [this] { return this->models(); };
    hooks.entryEndpoints = [this] { return this->entries(); };
    hooks.openJob = [this](const std::string &organisation, const std::string &service, const std::string &key, std::optional<absl::Duration> due) {
        return this->openJob(organisation, service, key, due);
    };
    hooks.listJobs = [this](const std::string &organisation) {
        nlohmann::json data = nlohmann::json::array();
        for (const JobStatus &job : callBatch([&] { return this->batch->list(organisation); })) {
            data.push_back(job.toJson());
        }
        return nlohmann::json({{"data", data}});
    };
    hooks.jobStatus = [this](const std::string &organisation, const std::string &id) {
        return callBatch([&] { return this->batch->status(organisation, id).toJson(); });
    };
    hooks.cancelJob = [this](const std::string &organisation, const std::string &id) {
        return callBatch([&] { return this->batch->cancel(organisation, id).toJson(); });
    };
    hooks.jobResults = [this](const std::string &organisation, const std::string &id, const std::function<bool(std::string_view)> &sink) {
        callBatch([&] { this->batch->writeResults(organisation, id, sink); });
    };
    return hooks;
}

AdminServer::Hooks Host::adminHooks()
{
    AdminServer::Hooks hooks;
    hooks.publish = [this](const std::string &body) { return this->publish(body); };
    hooks.services = [this] { return this->services(); };
    hooks.hosts = [this] { return this->hosts(); };
    hooks.upstreams = [this] { return this->upstreamStatus(); };
    hooks.status = [this] { return this->status(); };
    hooks.drain = [this] { this->startDrain(); };
    hooks.metrics = [this] { return this->metricsText(); };
    hooks.ready = [this] { return !this->draining && this->config->generation() > 0; };
    return hooks;
}

JobUpload Host::openJob(const std::string &organisation, const std::string &service, const std::string &key, std::optional<absl::Duration> due)
{
    const std::shared_ptr<const Catalogue> catalogue = this->config->catalogue();
    const ServiceSpec *spec = catalogue->find(service);
    if (spec == nullptr) {
        throw CallerError({statusNotFound, "service_not_found", absl::StrCat("there is no such service: ", service), RunState::NotRun});
    }
    const JobHeader header{organisation, service, key, absl::Now() + due.value_or(spec->batch.due)};
    const std::shared_ptr<BatchService::Submission> submission = callBatch([&] { return this->batch->open(header); });
    JobUpload upload;
    upload.append = [submission](std::string_view bytes) { callBatch([&] { submission->append(bytes); }); };
    upload.commit = [submission] { return callBatch([&] { return submission->commit().toJson(); }); };
    return upload;
}

nlohmann::json Host::publish(const std::string &body)
{
    const nlohmann::json publication = parseShallowJsonOrDiscard(body);
    if (publication.is_discarded()) {
        throw CallerError({statusBadRequest, "invalid_body", "the body is not JSON", RunState::NotRun});
    }
    std::uint64_t baseGeneration = 0;
    const std::vector<ServiceSpec> services = readServices(publication, baseGeneration);
    const ConfigService::PublishResult result = this->config->publish(baseGeneration, services);
    switch (result.outcome) {
    case ConfigService::PublishResult::Outcome::Accepted:
        this->events->record("configuration-accepted", {{"generation", result.generation}});
        return {{"generation", result.generation}};
    case ConfigService::PublishResult::Outcome::Conflict:
        throw CallerError({statusConflict, "publish_conflict", result.message, RunState::NotRun});
    case ConfigService::PublishResult::Outcome::Unavailable:
        throw CallerError({statusUnavailable, "store_unavailable", result.message, RunState::NotRun, absl::Seconds(2)});
    case ConfigService::PublishResult::Outcome::Unknown:
        break;
    }
    throw CallerError({statusUnavailable, "store_unanswered", result.message, RunState::Unknown, absl::Seconds(2)});
}

nlohmann::json Host::entries() const
{
    // Hosts of this host's region come first, because the link between regions is slow and billed by volume.
    std::vector<HostInfo> live = this->membership->liveHosts();
    const std::string &region = this->context.settings.region;
    std::stable_partition(live.begin(), live.end(), [&region](const HostInfo &host) { return host.region == region; });
    nlohmann::json list = nlohmann::json::array();
    for (const HostInfo &host : live) {
        list.push_back({{"address", host.callerAddress}, {"region", host.region}, {"data_centre", host.dataCentre}});
    }
    return {{"entries", list}, {"ttl_ms", absl::ToInt64Milliseconds(this->context.settings.entryTimeToLive)}};
}

nlohmann::json Host::models() const
{
    nlohmann::json data = nlohmann::json::array();
    for (const ServiceSpec &service : this->config->catalogue()->services) {
        if (service.kind == ServiceKind::Model) {
            data.push_back({{"id", service.name}, {"object", "model"}, {"owned_by", "bergamotramp"}});
        }
    }
    return {{"object", "list"}, {"data", data}};
}

nlohmann::json Host::hosts() const
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto &[host, state] : this->membership->members()) {
        list.push_back({{"name", host.name},
                        {"incarnation", host.incarnation},
                        {"region", host.region},
                        {"data_centre", host.dataCentre},
                        {"caller_address", host.callerAddress},
                        {"admin_address", host.adminAddress},
                        {"state", memberStateName(state)}});
    }
    return {{"hosts", list}};
}

nlohmann::json Host::services() const
{
    nlohmann::json list = nlohmann::json::array();
    const std::shared_ptr<const Catalogue> catalogue = this->config->catalogue();
    for (const ServiceSpec &service : catalogue->services) {
        list.push_back(service.toJson());
    }
    return {{"generation", catalogue->generation}, {"services", list}};
}

nlohmann::json Host::upstreamStatus() const
{
    nlohmann::json json = this->slots->status();
    json["orders"] = this->orders->status();
    return json;
}

nlohmann::json Host::status() const
{
    const StoreCallCounts calls = this->store->callCounts();
    const TransportCounts messages = this->transport->counts();
    return {{"name", this->context.settings.name},
            {"generation", this->config->generation()},
            {"draining", this->draining.load()},
            {"active_requests", this->callers->active()},
            {"store", {{"reads", calls.reads}, {"writes", calls.writes}, {"unanswered", calls.unanswered}}},
            {"messages",
             {{"sent", messages.messagesSent},
              {"sent_bytes", messages.bytesSent},
              {"received", messages.messagesReceived},
              {"received_bytes", messages.bytesReceived}}},
            {"membership", this->membership->status()},
            {"config", this->config->status()},
            {"slots", this->slots->status()},
            {"journal", this->journal->status()},
            {"batch", this->batch->statusJson()}};
}

std::string Host::metricsText()
{
    std::map<wire::MemberState, std::int64_t> counts;
    for (const auto &[host, state] : this->membership->members()) {
        ++counts[state];
    }
    for (const wire::MemberState state : {wire::MEMBER_STATE_ALIVE, wire::MEMBER_STATE_SUSPECT, wire::MEMBER_STATE_LEAVING, wire::MEMBER_STATE_DEAD}) {
        this->metrics.setMembers(state, counts[state]);
    }
    for (const auto &[service, usage] : this->slots->usage()) {
        this->metrics.setSlots(service, {usage.total, usage.online, usage.batch});
        this->metrics.setQueue(service, wire::WORK_CLASS_ONLINE, usage.onlineQueued);
        this->metrics.setQueue(service, wire::WORK_CLASS_BATCH, usage.batchQueued);
    }
    const TransportCounts messages = this->transport->counts();
    const StoreCallCounts calls = this->store->callCounts();
    this->metrics.setGeneration(this->config->generation());
    this->metrics.setControlTotals({messages.messagesSent, messages.bytesSent, messages.messagesReceived, messages.bytesReceived});
    this->metrics.setStoreTotals({calls.reads, calls.writes, calls.unanswered});
    return this->metrics.text();
}

void Host::startDrain()
{
    const std::lock_guard<std::mutex> lock(this->drainMutex);
    if (this->draining.exchange(true)) {
        return;
    }
    this->drainThread = std::thread([this] { this->drain(); });
}

void Host::drain()
{
    this->events->record("drain-started", nlohmann::json::object());
    Drain drainPhases(DrainSettings{this->context.settings.entryTimeToLive});
    std::vector<DrainAction> actions = drainPhases.start(absl::Now());
    while (true) {
        for (const DrainAction action : actions) {
            this->performDrainAction(action);
        }
        if (drainPhases.phase() == DrainPhase::Finished) {
            break;
        }
        absl::SleepFor(drainTickPeriod);
        actions = drainPhases.tick(absl::Now(), RemainingWork{this->callers->active(), 0});
    }
    this->events->record("drain-finished", nlohmann::json::object());
    LOG(INFO) << "planned shutdown: all requests have ended";
    const std::lock_guard<std::mutex> lock(this->drainMutex);
    this->drained = true;
    this->drainChanged.notify_all();
}

void Host::performDrainAction(DrainAction action)
{
    switch (action) {
    case DrainAction::AnnounceLeaving:
        LOG(INFO) << "planned shutdown: removing this host from the list of entry hosts";
        this->membership->leave();
        return;
    case DrainAction::HandOver:
        this->batch->drain();
        return;
    case DrainAction::StopAccepting:
        this->callers->stop();
        return;
    case DrainAction::Exit:
        this->journal->drain();
    }
}

void Host::waitUntilDrained()
{
    std::unique_lock<std::mutex> lock(this->drainMutex);
    this->drainChanged.wait(lock, [this] { return this->drained; });
}

} // namespace Bergamotramp
