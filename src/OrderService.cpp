#include "OrderService.h"

#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <glog/logging.h>

#include "ConfigPointer.h"
#include "EventLog.h"
#include "JsonReader.h"
#include "Lease.h"
#include "PoolOrders.h"
#include "SlotDirectory.h"
#include "StoreClient.h"
#include "TimerService.h"
#include "UpstreamClient.h"
#include "WorkerPool.h"

namespace Bergamotramp {

namespace {

constexpr absl::Duration tickPeriod = absl::Milliseconds(100);
constexpr std::size_t maxStoreThreads = 4;
/** Enough for a pool whose upstreams don't answer not to hold up the others for long. */
constexpr std::size_t maxOrderThreads = 32;
constexpr const char *pointerKey = "config/current";
constexpr const char *orderPath = "/admin/orders";
constexpr int statusOk = 200;
constexpr int statusRedirect = 300;
constexpr int statusConflict = 409;
/** Sending and receiving may each be silent for this share of the order timeout; connecting takes the rest. */
constexpr double silenceShare = 0.4;

/** How the call of an upstream ended, with a text for operators. */
struct OrderAnswer {
    OrderOutcome outcome = OrderOutcome::Failed;
    std::string text;
};

OrderAnswer answerOf(const CallResult &result, bool fencingHonoured)
{
    switch (result.outcome) {
    case CallOutcome::Completed:
        if (result.status >= statusOk && result.status < statusRedirect) {
            return {OrderOutcome::Done, "taken"};
        }
        if (result.status == statusConflict && fencingHonoured) {
            return {OrderOutcome::Fenced, "the upstream has seen a newer fencing token"};
        }
        return {OrderOutcome::Failed, absl::StrCat("status ", result.status)};
    case CallOutcome::NotSent:
        return {OrderOutcome::Failed, "no connection"};
    case CallOutcome::Broken:
        return {OrderOutcome::Unanswered, "the connection broke"};
    case CallOutcome::Silent:
        return {OrderOutcome::Unanswered, "no answer"};
    case CallOutcome::Cancelled:
        break;
    }
    return {OrderOutcome::Unanswered, "cancelled"};
}

FencedOrdersSettings fencedSettings(const OrderSettings &settings)
{
    return {settings.leaseLength, settings.orderTimeout, settings.retryPause, settings.maxRetryPause};
}

nlohmann::json targetJson(const OrderTarget &target)
{
    return nlohmann::json::parse(target.body, nullptr, false);
}

} // namespace

class OrderService::State
{
public:
    State(const HostContext &context, UpstreamClient &upstreams, const OrderSettings &settings);
    ~State();

    [[nodiscard]] nlohmann::json status() const;

private:
    /** A pool that this host is chosen for, or whose lease it still gives back. */
    struct Pool {
        Pool(const LeaseSettings &leaseSettings, const FencedOrdersSettings &orderSettings) : lease(leaseSettings), orders(orderSettings)
        {
        }

        Lease lease;
        PoolOrders orders;
        /** A call of the store is queued or running. */
        bool calling = false;
        bool wasHeld = false;
        /** This host is no longer chosen; the lease is given back once no order is under way. */
        bool leaving = false;
        bool released = false;
        absl::Time nextGenerationRead = absl::InfinitePast();
        /** What went wrong last, by upstream. */
        std::map<std::string, std::string> problems;
    };
    using PoolPointer = std::shared_ptr<Pool>;

    void tick();
    void choosePools();
    void createMissingPools();
    std::map<std::string, PoolTarget> chosenTargets();
    PoolPointer createPool(const std::string &name) const;
    void tickPool(const std::string &name, const PoolPointer &pool, absl::Time now);
    void noteLease(const std::string &name, Pool &pool, absl::Time now);
    void callStore(const PoolPointer &pool, const LeaseCall &call);
    void readGeneration(const PoolPointer &pool, std::uint64_t epoch);
    void send(const std::string &name, const PoolPointer &pool, const AddressedOrder &order);
    OrderAnswer callUpstream(const AddressedOrder &order);
    void settle(const std::string &name, Pool &pool, const AddressedOrder &order, const OrderAnswer &answer);
    void record(std::string_view event, const nlohmann::json &fields);
    static nlohmann::json poolStatus(const Pool &pool, absl::Time now);

    const HostContext context;
    UpstreamClient &upstreams;
    const OrderSettings settings;
    mutable std::mutex mutex;
    SlotDirectory directory;
    /** Of the pools that this host is chosen for. */
    std::map<std::string, PoolTarget> targets;
    std::map<std::string, PoolPointer> pools;
    std::set<std::shared_ptr<CallCancellation>> running;
    std::atomic<bool> stopping{false};
    WorkerPool storeCalls;
    WorkerPool orderCalls;
    TimerSubscription ticks;
};

OrderService::State::State(const HostContext &context, UpstreamClient &upstreams, const OrderSettings &settings)
    : context(context), upstreams(upstreams), settings(settings), storeCalls(maxStoreThreads), orderCalls(maxOrderThreads)
{
    this->ticks = context.timers->every(tickPeriod, [this] { this->tick(); });
}

OrderService::State::~State()
{
    this->stopping = true;
    this->ticks.cancel();
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        for (const std::shared_ptr<CallCancellation> &cancellation : this->running) {
            cancellation->cancel();
        }
    }
    this->orderCalls.stop();
    this->storeCalls.stop();
}

void OrderService::State::tick()
{
    const absl::Time now = absl::Now();
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->choosePools();
    this->createMissingPools();
    for (auto entry = this->pools.begin(); entry != this->pools.end();) {
        const auto &[name, pool] = *entry;
        this->tickPool(name, pool, now);
        const bool gone = pool->leaving && !pool->calling && !pool->lease.holds(now);
        entry = gone ? this->pools.erase(entry) : std::next(entry);
    }
}

void OrderService::State::choosePools()
{
    if (!this->directory.update(this->context.liveHosts(), this->context.catalogue())) {
        return;
    }
    this->targets = this->chosenTargets();
    for (const auto &[name, pool] : this->pools) {
        const auto target = this->targets.find(name);
        pool->leaving = pool->leaving || target == this->targets.end();
        if (!pool->leaving) {
            pool->orders.setTarget(target->second);
        }
    }
}

// A lease that is being given back can't be kept, so a pool that this host is chosen for again starts anew once the old lease is gone.
void OrderService::State::createMissingPools()
{
    for (const auto &[name, target] : this->targets) {
        if (!this->pools.contains(name)) {
            const PoolPointer pool = this->createPool(name);
            pool->orders.setTarget(target);
            this->pools[name] = pool;
        }
    }
}

std::map<std::string, PoolTarget> OrderService::State::chosenTargets()
{
    std::map<std::string, PoolTarget> chosen;
    const std::shared_ptr<const Catalogue> &catalogue = this->directory.catalogue();
    for (const ServiceSpec &spec : catalogue->services) {
        if (spec.kind != ServiceKind::Model) {
            continue;
        }
        for (const std::string &region : SlotDirectory::regionsOf(spec, this->context.settings.region)) {
            if (this->directory.holderOf(spec.name, region) == this->context.settings.name) {
                chosen[SlotDirectory::poolName(spec.name, region)] = PoolTarget::of(spec, region, catalogue->generation);
            }
        }
    }
    return chosen;
}

OrderService::State::PoolPointer OrderService::State::createPool(const std::string &name) const
{
    const LeaseSettings lease{absl::StrCat("orders/", name),
                              this->context.settings.name,
                              this->context.incarnation,
                              this->settings.leaseLength,
                              this->settings.renewPeriod,
                              this->settings.watchPeriod,
                              this->settings.storeRetryPause};
    return std::make_shared<Pool>(lease, fencedSettings(this->settings));
}

void OrderService::State::tickPool(const std::string &name, const PoolPointer &pool, absl::Time now)
{
    this->noteLease(name, *pool, now);
    if (pool->leaving && !pool->released && !pool->orders.underWay()) {
        pool->released = true;
        pool->lease.release();
    }
    if (!pool->calling) {
        if (const std::optional<LeaseCall> call = pool->lease.tick(now); call.has_value()) {
            pool->calling = true;
            this->storeCalls.post([this, pool, call = *call] { this->callStore(pool, call); });
        } else if (pool->orders.needsGeneration() && now >= pool->nextGenerationRead) {
            pool->calling = true;
            this->storeCalls.post([this, pool, epoch = pool->lease.epoch()] { this->readGeneration(pool, epoch); });
        }
    }
    if (pool->leaving) {
        return;
    }
    for (const AddressedOrder &order : pool->orders.tick(now)) {
        this->record("order-issued", {{"pool", name}, {"upstream", order.issue.order.upstream}, {"token", order.issue.token}});
        this->orderCalls.post([this, name, pool, order] { this->send(name, pool, order); });
    }
}

void OrderService::State::noteLease(const std::string &name, Pool &pool, absl::Time now)
{
    const bool holds = pool.lease.holds(now);
    if (holds) {
        pool.orders.leaseHeld(pool.lease.epoch(), pool.lease.takenAt(), pool.lease.heldUntil());
    } else if (pool.wasHeld) {
        pool.orders.leaseLost();
    }
    if (holds != pool.wasHeld) {
        pool.wasHeld = holds;
        this->record(holds ? "order-lease-taken" : "order-lease-lost", {{"pool", name}, {"epoch", pool.lease.epoch()}});
    }
}

void OrderService::State::callStore(const PoolPointer &pool, const LeaseCall &call)
{
    if (call.value.has_value()) {
        const WriteResult result = this->context.store->put(call.key, *call.value, call.precondition);
        const std::lock_guard<std::mutex> lock(this->mutex);
        pool->calling = false;
        pool->lease.writeSettled(result, absl::Now());
        return;
    }
    std::optional<StoredObject> object;
    bool answered = true;
    try {
        object = this->context.store->get(call.key);
    } catch (const StoreError &) {
        answered = false;
    }
    const std::lock_guard<std::mutex> lock(this->mutex);
    pool->calling = false;
    if (answered) {
        pool->lease.objectRead(object, absl::Now());
    } else {
        pool->lease.readFailed(absl::Now());
    }
}

void OrderService::State::readGeneration(const PoolPointer &pool, std::uint64_t epoch)
{
    std::optional<std::uint64_t> generation;
    try {
        const std::optional<StoredObject> object = this->context.store->get(pointerKey);
        generation = object.has_value() ? ConfigPointer::fromJsonText(object->value).generation() : 0;
    } catch (const StoreError &error) {
        LOG_EVERY_N(WARNING, 20) << "orders wait for the store: " << error.what();
    } catch (const JsonError &error) {
        LOG(ERROR) << "orders wait, since " << pointerKey << " can't be read: " << error.what();
    }
    const std::lock_guard<std::mutex> lock(this->mutex);
    pool->calling = false;
    pool->nextGenerationRead = absl::Now() + this->settings.storeRetryPause;
    if (generation.has_value()) {
        pool->nextGenerationRead = absl::InfinitePast();
        pool->orders.publishedGeneration(epoch, *generation);
    }
}

void OrderService::State::send(const std::string &name, const PoolPointer &pool, const AddressedOrder &order)
{
    const OrderAnswer answer = this->callUpstream(order);
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->settle(name, *pool, order, answer);
}

OrderAnswer OrderService::State::callUpstream(const AddressedOrder &order)
{
    const auto cancellation = std::make_shared<CallCancellation>();
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->running.insert(cancellation);
    }
    UpstreamCall call;
    call.path = orderPath;
    call.headers = {{"X-Fencing-Token", absl::StrCat(order.issue.token)}};
    call.body = order.issue.order.body;
    call.silenceTimeout = this->settings.orderTimeout * silenceShare;
    OrderAnswer answer{OrderOutcome::Failed, "not sent before the lease ended"};
    // Looked at last: the order may have waited for a thread, or the process may have been paused.
    if (!this->stopping && absl::Now() < order.issue.sendBefore) {
        answer = answerOf(this->upstreams.call(order.address, call, *cancellation), order.issue.order.fencingHonoured);
    }
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->running.erase(cancellation);
    return answer;
}

void OrderService::State::settle(const std::string &name, Pool &pool, const AddressedOrder &order, const OrderAnswer &answer)
{
    const std::string &upstream = order.issue.order.upstream;
    // An answer may come before the next tick notices the end of the lease, for example after a pause.
    this->noteLease(name, pool, absl::Now());
    const bool current = pool.orders.settled(upstream, order.number, answer.outcome, absl::Now());
    nlohmann::json fields = {{"pool", name}, {"upstream", upstream}, {"token", order.issue.token}, {"answer", answer.text}};
    if (!current) {
        this->record("order-superseded", fields);
        return;
    }
    if (answer.outcome == OrderOutcome::Done) {
        pool.problems.erase(upstream);
        LOG(INFO) << "upstream " << upstream << " of pool " << name << " took the order " << order.issue.order.body;
        this->record("order-confirmed", fields);
        return;
    }
    pool.problems[upstream] = answer.text;
    LOG(WARNING) << "upstream " << upstream << " of pool " << name << " did not take the order " << order.issue.order.body << " with fencing token "
                 << order.issue.token << ": " << answer.text << "; it is sent again after a pause";
    this->record(answer.outcome == OrderOutcome::Fenced ? "order-refused" : "order-failed", fields);
}

void OrderService::State::record(std::string_view event, const nlohmann::json &fields)
{
    if (this->context.events != nullptr) {
        this->context.events->record(event, fields);
    }
}

nlohmann::json OrderService::State::poolStatus(const Pool &pool, absl::Time now)
{
    const bool held = pool.lease.holds(now);
    nlohmann::json json = {{"lease", held ? "held" : "waiting"},
                           {"epoch", held ? pool.lease.epoch() : 0},
                           {"held_ms", held ? absl::ToInt64Milliseconds(now - pool.lease.takenAt()) : 0},
                           {"upstreams", nlohmann::json::object()}};
    for (const UpstreamOrderStatus &status : pool.orders.status()) {
        nlohmann::json &entry = json["upstreams"][status.upstream];
        entry = {{"state", orderStateName(status.state)}, {"wanted", targetJson(status.wanted)}};
        if (status.confirmed.has_value()) {
            entry["confirmed"] = targetJson(*status.confirmed);
        }
        if (const auto problem = pool.problems.find(status.upstream); problem != pool.problems.end()) {
            entry["problem"] = problem->second;
        }
    }
    return json;
}

nlohmann::json OrderService::State::status() const
{
    const absl::Time now = absl::Now();
    const std::lock_guard<std::mutex> lock(this->mutex);
    nlohmann::json json = nlohmann::json::object();
    for (const auto &[name, pool] : this->pools) {
        json[name] = State::poolStatus(*pool, now);
    }
    return json;
}

OrderService::OrderService(const HostContext &context, UpstreamClient &upstreams, const OrderSettings &settings)
    : state(std::make_unique<State>(context, upstreams, settings))
{
}

OrderService::~OrderService() = default;

nlohmann::json OrderService::status() const
{
    return this->state->status();
}

} // namespace Bergamotramp
