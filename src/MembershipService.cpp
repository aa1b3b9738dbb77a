#include "MembershipService.h"

#include <algorithm>
#include <condition_variable>
#include <exception>
#include <mutex>
#include <random>
#include <thread>

#include <absl/time/clock.h>
#include <glog/logging.h>

#include "EventLog.h"
#include "MemberUpdate.h"
#include "Membership.h"
#include "StoreClient.h"
#include "TimerService.h"
#include "Transport.h"

namespace Bergamotramp {

namespace {

constexpr int ticksPerPeriod = 8;
// The list of n hosts is read every 5 s + n * 75 ms: at 400 hosts a list of some 60 KB then costs 2 KB/s per host.
constexpr absl::Duration baseListPeriod = absl::Seconds(5);
constexpr absl::Duration listPeriodPerHost = absl::Milliseconds(75);
constexpr absl::Duration listRetryPeriodWithoutPeers = absl::Milliseconds(500);

HostInfo makeSelf(const HostContext &context)
{
    const HostSettings &settings = context.settings;
    // Port 0 in the settings means any free port; the bound address is used instead.
    const std::string peerAddress = settings.peerAddress.ends_with(":0") ? context.transport->address() : settings.peerAddress;
    return {settings.name,
            std::max<std::uint64_t>(context.incarnation, 1),
            settings.region,
            settings.dataCentre,
            settings.callerAddress,
            peerAddress,
            settings.adminAddress};
}

HostListEntry toHostListEntry(const ListedHost &listed)
{
    return {{listed.name, 0, listed.region, listed.dataCentre, listed.callerAddress, listed.peerAddress, listed.adminAddress}, listed.leaving};
}

std::vector<HostInfo> selectLive(const Membership::Members &members)
{
    std::vector<HostInfo> live;
    for (const auto &[host, state] : members) {
        if (state == wire::MEMBER_STATE_ALIVE || state == wire::MEMBER_STATE_SUSPECT) {
            live.push_back(host);
        }
    }
    return live;
}

} // namespace

class MembershipService::Implementation
{
public:
    /** The members as readers see them; replaced as a whole after a change. */
    struct Snapshot {
        Membership::Members members;
        std::vector<HostInfo> live;
    };

    explicit Implementation(const HostContext &context);
    ~Implementation();
    Implementation(const Implementation &) = delete;
    Implementation &operator=(const Implementation &) = delete;

    [[nodiscard]] std::shared_ptr<const Snapshot> snapshot() const;
    void addHook(std::function<void()> hook);
    void setGenerationHooks(std::function<std::uint64_t()> current, std::function<void(const std::string &, std::uint64_t)> onNewerGeneration);
    void handle(const wire::Envelope &envelope);
    void leave();

private:
    static Snapshot makeSnapshot(const Membership &membership);
    /** Passes one event to the membership state machine, executes the resulting actions and calls the change hooks. */
    void apply(const std::function<MembershipActions(Membership &)> &event);
    /** Executes the actions of one event; returns whether the set of live hosts changed. */
    bool execute(const MembershipActions &actions);
    bool publishSnapshot();
    void callHooks();
    void recordChange(const MemberChanged &change);
    void sendMessage(const SendMessage &message);
    void reportNewerGeneration(const std::string &from, std::uint64_t generation);
    [[nodiscard]] std::uint64_t currentGeneration() const;
    void runHostListReader();
    [[nodiscard]] absl::Duration readHostList();

    const HostContext &context;
    /** Held for an event together with its actions, so that messages and snapshots are in the order of events. */
    std::mutex eventMutex;
    Membership membership;

    mutable std::mutex mutex;
    std::condition_variable wake;
    bool stopping = false;
    std::shared_ptr<const Snapshot> current;
    std::vector<std::function<void()>> hooks;
    std::function<std::uint64_t()> generationHook;
    std::function<void(const std::string &, std::uint64_t)> newerGenerationHook;

    TimerSubscription tickTimer;
    std::thread hostListThread;
};

MembershipService::Implementation::Implementation(const HostContext &context)
    : context(context)
    , membership(makeSelf(context), MembershipSettings{.period = context.settings.membershipPeriod}, std::mt19937_64(std::random_device()()), absl::Now())
    , current(std::make_shared<const Snapshot>(makeSnapshot(this->membership)))
{
    this->tickTimer = context.timers->every(context.settings.membershipPeriod / ticksPerPeriod,
                                            [this] { this->apply([](Membership &membership) { return membership.tick(absl::Now()); }); });
    this->hostListThread = std::thread([this] { this->runHostListReader(); });
}

MembershipService::Implementation::~Implementation()
{
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->stopping = true;
    }
    this->wake.notify_all();
    this->hostListThread.join();
    this->tickTimer.cancel();
}

std::shared_ptr<const MembershipService::Implementation::Snapshot> MembershipService::Implementation::snapshot() const
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->current;
}

void MembershipService::Implementation::addHook(std::function<void()> hook)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->hooks.push_back(std::move(hook));
}

void MembershipService::Implementation::setGenerationHooks(std::function<std::uint64_t()> current,
                                                           std::function<void(const std::string &, std::uint64_t)> onNewerGeneration)
{
    // Waits for an event in progress, which may still use the previous hooks.
    const std::lock_guard<std::mutex> event(this->eventMutex);
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->generationHook = std::move(current);
    this->newerGenerationHook = std::move(onNewerGeneration);
}

void MembershipService::Implementation::apply(const std::function<MembershipActions(Membership &)> &event)
{
    try {
        bool liveChanged = false;
        {
            const std::lock_guard<std::mutex> lock(this->eventMutex);
            liveChanged = this->execute(event(this->membership));
        }
        if (liveChanged) {
            this->callHooks();
        }
    } catch (const std::exception &error) {
        LOG(ERROR) << "cannot process a membership event: " << error.what();
    }
}

bool MembershipService::Implementation::execute(const MembershipActions &actions)
{
    bool changed = false;
    for (const MembershipAction &action : actions) {
        if (const auto *message = std::get_if<SendMessage>(&action)) {
            this->sendMessage(*message);
        } else if (const auto *change = std::get_if<MemberChanged>(&action)) {
            this->recordChange(*change);
            changed = true;
        } else {
            this->context.transport->reconnect(std::get<ReplaceConnection>(action).address);
        }
    }
    return changed && this->publishSnapshot();
}

void MembershipService::Implementation::callHooks()
{
    std::vector<std::function<void()>> hooksToCall;
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        hooksToCall = this->hooks;
    }
    for (const std::function<void()> &hook : hooksToCall) {
        hook();
    }
}

MembershipService::Implementation::Snapshot MembershipService::Implementation::makeSnapshot(const Membership &membership)
{
    Membership::Members members = membership.members();
    std::vector<HostInfo> live = selectLive(members);
    return {std::move(members), std::move(live)};
}

bool MembershipService::Implementation::publishSnapshot()
{
    auto updated = std::make_shared<const Snapshot>(makeSnapshot(this->membership));
    const std::lock_guard<std::mutex> lock(this->mutex);
    const bool liveChanged = updated->live != this->current->live;
    this->current = std::move(updated);
    return liveChanged;
}

void MembershipService::Implementation::recordChange(const MemberChanged &change)
{
    if (this->context.events != nullptr) {
        this->context.events->record("member",
                                     {{"member", change.host.name}, {"incarnation", change.host.incarnation}, {"state", memberStateName(change.state)}});
    }
}

void MembershipService::Implementation::sendMessage(const SendMessage &message)
{
    wire::Envelope envelope = message.envelope;
    const std::uint64_t generation = this->currentGeneration();
    if (envelope.has_ping()) {
        envelope.mutable_ping()->set_generation(generation);
    } else if (envelope.has_ping_ack()) {
        envelope.mutable_ping_ack()->set_generation(generation);
    } else {
        envelope.mutable_ping_request()->set_generation(generation);
    }
    this->context.transport->send(message.address, std::move(envelope));
}

std::uint64_t MembershipService::Implementation::currentGeneration() const
{
    std::function<std::uint64_t()> hook;
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        hook = this->generationHook;
    }
    return hook ? hook() : 0;
}

void MembershipService::Implementation::reportNewerGeneration(const std::string &from, std::uint64_t generation)
{
    std::function<void(const std::string &, std::uint64_t)> hook;
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        hook = this->newerGenerationHook;
    }
    if (!hook || generation <= this->currentGeneration()) {
        return;
    }
    std::string address;
    {
        const std::lock_guard<std::mutex> lock(this->eventMutex);
        address = this->membership.addressOf(from);
    }
    if (!address.empty()) {
        hook(address, generation);
    }
}

void MembershipService::Implementation::handle(const wire::Envelope &envelope)
{
    const std::string &from = envelope.from().name();
    if (from == this->context.settings.name) {
        return;
    }
    const absl::Time now = absl::Now();
    if (envelope.has_ping()) {
        this->apply([&](Membership &membership) { return membership.receivePing(from, envelope.ping(), now); });
        this->reportNewerGeneration(from, envelope.ping().generation());
    } else if (envelope.has_ping_ack()) {
        this->apply([&](Membership &membership) { return membership.receiveAck(from, envelope.ping_ack(), now); });
        this->reportNewerGeneration(from, envelope.ping_ack().generation());
    } else if (envelope.has_ping_request()) {
        this->apply([&](Membership &membership) { return membership.receivePingRequest(from, envelope.ping_request(), now); });
        this->reportNewerGeneration(from, envelope.ping_request().generation());
    }
}

void MembershipService::Implementation::leave()
{
    this->apply([](Membership &membership) { return membership.leave(absl::Now()); });
}

void MembershipService::Implementation::runHostListReader()
{
    std::mt19937_64 random{std::random_device()()};
    std::uniform_real_distribution<> jitter(0.75, 1.25);
    std::unique_lock<std::mutex> lock(this->mutex);
    while (!this->stopping) {
        lock.unlock();
        const absl::Duration wait = this->readHostList() * jitter(random);
        lock.lock();
        this->wake.wait_for(lock, absl::ToChronoMicroseconds(wait), [this] { return this->stopping; });
    }
}

absl::Duration MembershipService::Implementation::readHostList()
{
    try {
        std::vector<HostListEntry> entries;
        for (const ListedHost &listed : this->context.store->hosts()) {
            entries.push_back(toHostListEntry(listed));
        }
        this->apply([&](Membership &membership) { return membership.receiveHostList(entries, absl::Now()); });
        return baseListPeriod + listPeriodPerHost * static_cast<std::int64_t>(entries.size());
    } catch (const std::exception &error) {
        LOG(WARNING) << "cannot read the host list; retrying: " << error.what();
    }
    // While no peer is known, the host list is the only way to join the cluster.
    return this->snapshot()->members.size() > 1 ? baseListPeriod : listRetryPeriodWithoutPeers;
}

MembershipService::MembershipService(const HostContext &context) : implementation(std::make_unique<Implementation>(context))
{
}

MembershipService::~MembershipService() = default;

std::vector<HostInfo> MembershipService::liveHosts() const
{
    return this->implementation->snapshot()->live;
}

std::vector<std::pair<HostInfo, wire::MemberState>> MembershipService::members() const
{
    return this->implementation->snapshot()->members;
}

void MembershipService::onChange(std::function<void()> hook)
{
    this->implementation->addHook(std::move(hook));
}

void MembershipService::setGenerationHooks(std::function<std::uint64_t()> current,
                                           std::function<void(const std::string &peerAddress, std::uint64_t generation)> onNewerGeneration)
{
    this->implementation->setGenerationHooks(std::move(current), std::move(onNewerGeneration));
}

void MembershipService::handle(const wire::Envelope &envelope)
{
    this->implementation->handle(envelope);
}

void MembershipService::leave()
{
    this->implementation->leave();
}

nlohmann::json MembershipService::status() const
{
    nlohmann::json list = nlohmann::json::array();
    const auto snapshot = this->implementation->snapshot();
    for (const auto &[host, state] : snapshot->members) {
        list.push_back({{"name", host.name},
                        {"incarnation", host.incarnation},
                        {"state", memberStateName(state)},
                        {"region", host.region},
                        {"dataCentre", host.dataCentre},
                        {"callerAddress", host.callerAddress},
                        {"peerAddress", host.peerAddress},
                        {"adminAddress", host.adminAddress}});
    }
    return {{"members", list}};
}

} // namespace Bergamotramp
