#include "ConfigService.h"

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <exception>
#include <mutex>
#include <random>
#include <thread>

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <glog/logging.h>

#include "ConfigCopy.h"
#include "ConfigPublisher.h"
#include "EventLog.h"
#include "RendezvousHash.h"
#include "StoreClient.h"
#include "Transport.h"

namespace Bergamotramp {

namespace {

// Also the longest time that the destructor waits for a watch call to return.
constexpr absl::Duration watchTimeout = absl::Seconds(1);
constexpr absl::Duration pollPeriod = absl::Seconds(30);
constexpr absl::Duration watcherCheckPeriod = absl::Seconds(1);
constexpr absl::Duration initialBackoff = absl::Milliseconds(200);
constexpr absl::Duration maxBackoff = absl::Seconds(5);
constexpr absl::Duration pullTimeout = absl::Seconds(1);
constexpr absl::Duration publishTimeout = absl::Seconds(8);
constexpr std::size_t maxQueuedTasks = 32;
constexpr std::size_t maxAnnouncements = 3;
constexpr std::size_t maxAnnouncementsInRegion = 2;
constexpr std::size_t maxPeersToPull = 3;

wire::Envelope makeConfigPush(std::uint64_t generation, std::string catalogue)
{
    wire::Envelope envelope;
    envelope.mutable_config_push()->set_generation(generation);
    envelope.mutable_config_push()->set_catalogue(std::move(catalogue));
    return envelope;
}

} // namespace

class ConfigService::Implementation
{
public:
    explicit Implementation(const HostContext &context);
    ~Implementation();
    Implementation(const Implementation &) = delete;
    Implementation &operator=(const Implementation &) = delete;

    [[nodiscard]] std::shared_ptr<const Catalogue> catalogue() const;
    void addHook(std::function<void()> hook);
    PublishResult publish(std::uint64_t baseGeneration, const std::vector<ServiceSpec> &services);
    void handle(const wire::Envelope &envelope);
    void pullIfNewer(const std::string &peerAddress, std::uint64_t generation);
    [[nodiscard]] nlohmann::json status() const;

private:
    /** Work for the peer thread: a peer to pull from, or a received catalogue to parse. */
    struct PeerTask {
        std::string address;
        std::uint64_t generation = 0;
        std::string catalogue;
    };

    [[nodiscard]] wire::Envelope makePullAnswer(const wire::ConfigPull &pull) const;
    void addTask(PeerTask task);
    void runPeerTasks();
    void runPeerTask(const PeerTask &task);
    bool pullFrom(const std::string &peerAddress);
    void adoptText(const std::string &text, const std::string &source);
    bool adopt(const Catalogue &offered, const std::string &source);
    void saveCopy();
    void announce(std::uint64_t generation);

    void runStoreReader();
    void loadAtStartup();
    bool pullFromPeers();
    void watchOrPollStore();
    [[nodiscard]] bool isWatcher() const;
    void watchOnce();
    void readStore();
    void sleepFor(absl::Duration length);
    [[nodiscard]] bool isStopping() const;
    [[nodiscard]] absl::Duration jittered(absl::Duration length);
    [[nodiscard]] std::vector<HostInfo> otherHosts() const;

    const HostContext &context;
    const ConfigCopy copy;

    mutable std::mutex mutex;
    std::condition_variable wake;
    bool stopping = false;
    ConfigState state;
    std::string text;
    std::string source = "none";
    bool watching = false;
    absl::Time lastRead = absl::InfinitePast();
    std::vector<std::function<void()>> hooks;
    std::deque<PeerTask> tasks;
    std::uint64_t publications = 0;
    std::mt19937_64 random{std::random_device()()};

    std::mutex publishMutex;
    std::mutex copyMutex;
    std::optional<std::uint64_t> watchRevision;
    absl::Time nextPoll = absl::InfinitePast();
    std::thread peerThread;
    std::thread storeThread;
};

ConfigService::Implementation::Implementation(const HostContext &context) : context(context), copy(context.settings.dataFolder)
{
    this->peerThread = std::thread([this] { this->runPeerTasks(); });
    this->storeThread = std::thread([this] { this->runStoreReader(); });
}

ConfigService::Implementation::~Implementation()
{
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->stopping = true;
    }
    this->wake.notify_all();
    this->peerThread.join();
    this->storeThread.join();
}

std::shared_ptr<const Catalogue> ConfigService::Implementation::catalogue() const
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->state.current();
}

void ConfigService::Implementation::addHook(std::function<void()> hook)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->hooks.push_back(std::move(hook));
}

ConfigService::PublishResult ConfigService::Implementation::publish(std::uint64_t baseGeneration, const std::vector<ServiceSpec> &services)
{
    const std::lock_guard<std::mutex> publishing(this->publishMutex);
    const std::string writer = absl::StrCat(this->context.settings.name, "/", this->context.incarnation, "/", ++this->publications);
    const Catalogue catalogue{baseGeneration + 1, services};
    PublishResult result = ConfigPublisher(*this->context.store, writer, publishTimeout).publish(baseGeneration, catalogue);
    if (result.outcome == PublishResult::Outcome::Accepted) {
        this->adopt(catalogue, "publication");
    }
    return result;
}

void ConfigService::Implementation::handle(const wire::Envelope &envelope)
{
    if (envelope.has_config_push()) {
        const wire::ConfigPush &push = envelope.config_push();
        if (push.generation() > this->catalogue()->generation) {
            // A push without a catalogue only announces its generation.
            std::string address;
            for (const HostInfo &host : this->otherHosts()) {
                address = host.name == envelope.from().name() ? host.peerAddress : address;
            }
            this->addTask({address, push.generation(), push.catalogue()});
        }
        return;
    }
    for (const HostInfo &host : this->otherHosts()) {
        if (!envelope.has_config_pull() || host.name != envelope.from().name()) {
            continue;
        }
        this->context.transport->reply(host.peerAddress, envelope.correlation(), this->makePullAnswer(envelope.config_pull()));
    }
}

wire::Envelope ConfigService::Implementation::makePullAnswer(const wire::ConfigPull &pull) const
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    const std::uint64_t generation = this->state.generation();
    return makeConfigPush(generation, generation > pull.known_generation() ? this->text : "");
}

void ConfigService::Implementation::pullIfNewer(const std::string &peerAddress, std::uint64_t generation)
{
    this->addTask({peerAddress, generation, ""});
}

void ConfigService::Implementation::addTask(PeerTask task)
{
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        const bool alreadyQueued = std::any_of(this->tasks.begin(), this->tasks.end(), [&task](const PeerTask &queued) {
            return queued.address == task.address && queued.generation >= task.generation;
        });
        // Dropping a task is safe: the next ping from a host with the greater generation adds it again.
        if (alreadyQueued || this->tasks.size() >= maxQueuedTasks || task.generation <= this->state.generation()) {
            return;
        }
        this->tasks.push_back(std::move(task));
    }
    this->wake.notify_all();
}

void ConfigService::Implementation::runPeerTasks()
{
    std::unique_lock<std::mutex> lock(this->mutex);
    while (true) {
        this->wake.wait(lock, [this] { return this->stopping || !this->tasks.empty(); });
        if (this->stopping) {
            return;
        }
        const PeerTask task = std::move(this->tasks.front());
        this->tasks.pop_front();
        if (task.generation <= this->state.generation()) {
            continue;
        }
        lock.unlock();
        try {
            this->runPeerTask(task);
        } catch (const std::exception &error) {
            LOG(WARNING) << "cannot get the configuration from peer " << task.address << ": " << error.what();
        }
        lock.lock();
    }
}

void ConfigService::Implementation::runPeerTask(const PeerTask &task)
{
    if (!task.catalogue.empty()) {
        this->adoptText(task.catalogue, "peer");
    } else if (!task.address.empty()) {
        this->pullFrom(task.address);
    }
}

bool ConfigService::Implementation::pullFrom(const std::string &peerAddress)
{
    wire::Envelope pull;
    pull.mutable_config_pull()->set_known_generation(this->catalogue()->generation);
    const std::optional<wire::Envelope> answer = this->context.transport->request(peerAddress, std::move(pull), pullTimeout);
    if (!answer || !answer->has_config_push()) {
        return false;
    }
    if (!answer->config_push().catalogue().empty()) {
        this->adoptText(answer->config_push().catalogue(), "peer");
    }
    return true;
}

void ConfigService::Implementation::adoptText(const std::string &text, const std::string &source)
{
    this->adopt(Catalogue::fromJsonText(text), source);
}

bool ConfigService::Implementation::adopt(const Catalogue &offered, const std::string &source)
{
    std::vector<std::function<void()>> hooksToCall;
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        if (!this->state.adoptIfNewer(offered)) {
            return false;
        }
        this->text = offered.toJsonText();
        this->source = source;
        hooksToCall = this->hooks;
    }
    this->saveCopy();
    if (this->context.events != nullptr) {
        this->context.events->record("config", {{"generation", offered.generation}, {"source", source}});
    }
    this->announce(offered.generation);
    for (const std::function<void()> &hook : hooksToCall) {
        hook();
    }
    return true;
}

void ConfigService::Implementation::saveCopy()
{
    // Reads the current catalogue under the lock, so that concurrent calls can't replace a newer copy by an older one.
    const std::lock_guard<std::mutex> lock(this->copyMutex);
    this->copy.save(*this->catalogue());
}

// Pings alone spread a new generation to hundreds of hosts in several membership periods. Immediate announcements, repeated by each host
// that adopts it, take a few message delays.
void ConfigService::Implementation::announce(std::uint64_t generation)
{
    std::vector<HostInfo> hosts = this->otherHosts();
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        std::shuffle(hosts.begin(), hosts.end(), this->random);
    }
    // The receivers pull the catalogue from this host, so most of them are chosen in its own region, where traffic is cheap.
    std::size_t inRegion = 0;
    std::stable_partition(hosts.begin(), hosts.end(), [&](const HostInfo &host) {
        return host.region == this->context.settings.region && inRegion++ < maxAnnouncementsInRegion;
    });
    hosts.resize(std::min(hosts.size(), maxAnnouncements));
    for (const HostInfo &host : hosts) {
        this->context.transport->send(host.peerAddress, makeConfigPush(generation, ""));
    }
}

void ConfigService::Implementation::runStoreReader()
{
    try {
        this->loadAtStartup();
    } catch (const std::exception &error) {
        LOG(ERROR) << "cannot load the configuration at startup: " << error.what();
    }
    absl::Duration backoff = initialBackoff;
    while (!this->isStopping()) {
        try {
            this->watchOrPollStore();
            backoff = initialBackoff;
        } catch (const std::exception &error) {
            LOG(WARNING) << "cannot read the configuration from the store; retrying: " << error.what();
            this->watchRevision.reset();
            this->sleepFor(this->jittered(backoff));
            backoff = std::min(backoff * 2, maxBackoff);
        }
    }
}

void ConfigService::Implementation::loadAtStartup()
{
    try {
        this->readStore();
        this->nextPoll = absl::Now() + this->jittered(pollPeriod);
        return;
    } catch (const std::exception &error) {
        LOG(WARNING) << "cannot read the configuration from the store at startup; asking peers: " << error.what();
    }
    try {
        if (this->pullFromPeers()) {
            return;
        }
    } catch (const std::exception &error) {
        LOG(WARNING) << "cannot get the configuration from peers at startup: " << error.what();
    }
    if (const std::optional<Catalogue> saved = this->copy.load()) {
        this->adopt(*saved, "data folder");
    }
}

bool ConfigService::Implementation::pullFromPeers()
{
    std::vector<std::string> addresses;
    for (const HostInfo &host : this->otherHosts()) {
        addresses.push_back(host.peerAddress);
    }
    if (addresses.empty()) {
        for (const ListedHost &listed : this->context.store->hosts()) {
            if (listed.name != this->context.settings.name) {
                addresses.push_back(listed.peerAddress);
            }
        }
    }
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        std::shuffle(addresses.begin(), addresses.end(), this->random);
    }
    addresses.resize(std::min(addresses.size(), maxPeersToPull));
    bool answered = false;
    for (const std::string &address : addresses) {
        answered = this->pullFrom(address) || answered;
    }
    return answered && this->catalogue()->generation > 0;
}

void ConfigService::Implementation::watchOrPollStore()
{
    const bool shouldWatch = this->isWatcher();
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->watching = shouldWatch;
    }
    if (absl::Now() >= this->nextPoll) {
        this->readStore();
        this->nextPoll = absl::Now() + this->jittered(pollPeriod);
    }
    if (shouldWatch) {
        this->watchOnce();
    } else {
        this->watchRevision.reset();
        this->sleepFor(watcherCheckPeriod);
    }
}

bool ConfigService::Implementation::isWatcher() const
{
    const HostSettings &settings = this->context.settings;
    std::vector<std::string> names;
    for (const HostInfo &host : this->context.liveHosts()) {
        if (host.dataCentre == settings.dataCentre) {
            names.push_back(host.name);
        }
    }
    // A leaving host is not among the live hosts; if no other host of the data centre is live, it still watches.
    return names.empty() || rendezvousPick("config-watch/" + settings.dataCentre, names) == settings.name;
}

void ConfigService::Implementation::watchOnce()
{
    if (!this->watchRevision) {
        const ListPage page = this->context.store->list(configCurrentKey, "", 1, false);
        this->readStore();
        this->watchRevision = page.revision;
    }
    const WatchResult result = this->context.store->watch(configPrefix, *this->watchRevision, watchTimeout);
    if (!result.changedKeys.empty()) {
        this->readStore();
    }
    this->watchRevision = result.revision;
}

void ConfigService::Implementation::readStore()
{
    const StoredPointer current = readConfigPointer(*this->context.store);
    if (current.pointer.generation() > this->catalogue()->generation) {
        const ConfigEntry &entry = current.pointer.entries.front();
        const std::optional<StoredObject> object = this->context.store->get(entry.key);
        if (!object) {
            throw StoreError(absl::StrCat("the catalogue object ", entry.key, " is missing"));
        }
        this->adoptText(object->value, "store");
    }
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->lastRead = absl::Now();
}

void ConfigService::Implementation::sleepFor(absl::Duration length)
{
    std::unique_lock<std::mutex> lock(this->mutex);
    this->wake.wait_for(lock, absl::ToChronoMicroseconds(length), [this] { return this->stopping; });
}

bool ConfigService::Implementation::isStopping() const
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->stopping;
}

absl::Duration ConfigService::Implementation::jittered(absl::Duration length)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return length * std::uniform_real_distribution<>(0.5, 1.5)(this->random);
}

std::vector<HostInfo> ConfigService::Implementation::otherHosts() const
{
    std::vector<HostInfo> hosts = this->context.liveHosts();
    std::erase_if(hosts, [this](const HostInfo &host) { return host.name == this->context.settings.name; });
    return hosts;
}

nlohmann::json ConfigService::Implementation::status() const
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    nlohmann::json json = {
        {"generation", this->state.generation()}, {"services", this->state.current()->services.size()}, {"source", this->source}, {"watching", this->watching}};
    if (this->lastRead != absl::InfinitePast()) {
        json["secondsSinceStoreRead"] = absl::ToDoubleSeconds(absl::Now() - this->lastRead);
    }
    return json;
}

ConfigService::ConfigService(const HostContext &context) : implementation(std::make_unique<Implementation>(context))
{
}

ConfigService::~ConfigService() = default;

std::shared_ptr<const Catalogue> ConfigService::catalogue() const
{
    return this->implementation->catalogue();
}

std::uint64_t ConfigService::generation() const
{
    return this->implementation->catalogue()->generation;
}

void ConfigService::onChange(std::function<void()> hook)
{
    this->implementation->addHook(std::move(hook));
}

ConfigService::PublishResult ConfigService::publish(std::uint64_t baseGeneration, const std::vector<ServiceSpec> &services)
{
    return this->implementation->publish(baseGeneration, services);
}

void ConfigService::handle(const wire::Envelope &envelope)
{
    this->implementation->handle(envelope);
}

void ConfigService::pullIfNewer(const std::string &peerAddress, std::uint64_t generation)
{
    this->implementation->pullIfNewer(peerAddress, generation);
}

nlohmann::json ConfigService::status() const
{
    return this->implementation->status();
}

} // namespace Bergamotramp
