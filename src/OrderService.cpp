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
/** Enough that a pool whose upstreams don't answer does not delay the orders of other pools for long. */
constexpr std::size_t maxOrderThreads = 32;
constexpr const char *pointerKey = "config/current";
constexpr const char *orderPath = "/admin/orders";
constexpr int statusOk = 200;
constexpr int statusRedirect = 300;
constexpr int statusConflict = 409;
/** Share of the order timeout for which sending and receiving may each make no progress; the rest is left for connecting. */
constexpr double silenceTimeoutShare = 0.4;

/** Outcome of sending an order to an upstream, with a text for operators. */
struct OrderResult {
    OrderOutcome outcome = OrderOutcome::Failed;
    std::string text;
};

OrderResult toOrderResult(const CallResult &result, bool fencingHonoured)
{
    switch (result.outcome) {
    case CallOutcome::Completed:
        if (result.status >= statusOk && result.status < statusRedirect) {
            return {OrderOutcome::Accepted, "taken"};
        }
        if (result.status == statusConflict && fencingHonoured) {
            return {OrderOutcome::Fenced, "the upstream has seen a newer fencing token"};
        }
        return {OrderOutcome::Failed, absl::StrCat("status ", result.status)};
    case CallOutcome::NotSent:
        return {OrderOutcome::Failed, "no connection"};
    case CallOutcome::ConnectionLost:
        return {OrderOutcome::Unanswered, "the connection broke"};
    case CallOutcome::TimedOut:
        return {OrderOutcome::Unanswered, "no answer"};
    case CallOutcome::Cancelled:
        break;
    }
    return {OrderOutcome::Unanswered, "cancelled"};
}

FencedOrdersSettings fencedSettings(const OrderSettings &settings)
{
    return {settings.leaseLength, settings.orderTimeout, settings.initialRetryDelay, settings.maxRetryDelay};
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
    /** A pool that this host is selected for, or whose lease it has yet to release. */
    struct Pool {
        Pool(const LeaseSettings &leaseSettings, const FencedOrdersSettings &orderSettings) : lease(leaseSettings), orders(orderSettings)
        {
        }

        Lease lease;
        PoolOrders orders;
        /** A call of the store for this pool is queued or running. */
        bool storeCallPending = false;
        bool wasHeld = false;
        /** This host is no longer selected; the lease is released once no order is in flight. */
        bool deselected = false;
        bool releaseRequested = false;
        absl::Time nextGenerationRead = absl::InfinitePast();
        /** The last failure of each upstream, by upstream name. */
        std::map<std::string, std::string> lastProblems;
    };
    using PoolPointer = std::shared_ptr<Pool>;

    void tick();
    void updateSelectedPools();
    void createMissingPools();
    std::map<std::string, PoolTarget> selectedTargets();
    PoolPointer createPool(const std::string &name) const;
    void tickPool(const std::string &name, const PoolPointer &pool, absl::Time now);
    void updateLeaseState(const std::string &name, Pool &pool, absl::Time now);
    void callStore(const PoolPointer &pool, const LeaseCall &call);
    void readPublishedGeneration(const PoolPointer &pool, std::uint64_t epoch);
    void send(const std::string &name, const PoolPointer &pool, const AddressedOrder &order);
    OrderResult callUpstream(const AddressedOrder &order);
    void handleResult(const std::string &name, Pool &pool, const AddressedOrder &order, const OrderResult &answer);
    void record(std::string_view event, const nlohmann::json &fields);
    static nlohmann::json poolStatus(const Pool &pool, absl::Time now);

    const HostContext context;
    UpstreamClient &upstreams;
    const OrderSettings settings;
    mutable std::mutex mutex;
    SlotDirectory directory;
    /** Targets of the pools that this host is selected for, by pool name. */
    std::map<std::string, PoolTarget> targets;
    std::map<std::string, PoolPointer> pools;
    std::set<std::shared_ptr<CallCancellation>> runningCalls;
    std::atomic<bool> stopping{false};
    WorkerPool storeCalls;
    WorkerPool orderCalls;
    TimerSubscription tickTimer;
};

OrderService::State::State(const HostContext &context, UpstreamClient &upstreams, const OrderSettings &settings)
    : context(context), upstreams(upstreams), settings(settings), storeCalls(maxStoreThreads), orderCalls(maxOrderThreads)
{
    this->tickTimer = context.timers->every(tickPeriod, [this] { this->tick(); });
}

OrderService::State::~State()
{
    this->stopping = true;
    this->tickTimer.cancel();
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        for (const std::shared_ptr<CallCancellation> &cancellation : this->runningCalls) {
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
    this->updateSelectedPools();
    this->createMissingPools();
    for (auto entry = this->pools.begin(); entry != this->pools.end();) {
        const auto &[name, pool] = *entry;
        this->tickPool(name, pool, now);
        const bool removable = pool->deselected && !pool->storeCallPending && !pool->lease.isHeld(now);
        entry = removable ? this->pools.erase(entry) : std::next(entry);
    }
}

void OrderService::State::updateSelectedPools()
{
    if (!this->directory.update(this->context.liveHosts(), this->context.catalogue())) {
        return;
    }
    this->targets = this->selectedTargets();
    for (const auto &[name, pool] : this->pools) {
        const auto target = this->targets.find(name);
        pool->deselected = pool->deselected || target == this->targets.end();
        if (!pool->deselected) {
            pool->orders.setTarget(target->second);
        }
    }
}

// The release of a lease can't be undone. A pool that this host is selected for again is therefore created anew once the old lease is
// released and its entry removed.
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

std::map<std::string, PoolTarget> OrderService::State::selectedTargets()
{
    std::map<std::string, PoolTarget> selected;
    const std::shared_ptr<const Catalogue> &catalogue = this->directory.catalogue();
    for (const ServiceSpec &spec : catalogue->services) {
        if (spec.kind != ServiceKind::Model) {
            continue;
        }
        for (const std::string &region : SlotDirectory::regionsOf(spec, this->context.settings.region)) {
            if (this->directory.holderOf(spec.name, region) == this->context.settings.name) {
                selected[SlotDirectory::poolName(spec.name, region)] = PoolTarget::of(spec, region, catalogue->generation);
            }
        }
    }
    return selected;
}

OrderService::State::PoolPointer OrderService::State::createPool(const std::string &name) const
{
    const LeaseSettings lease{absl::StrCat("orders/", name),
                              this->context.settings.name,
                              this->context.incarnation,
                              this->settings.leaseLength,
                              this->settings.renewPeriod,
                              this->settings.leaseCheckPeriod,
                              this->settings.storeRetryDelay};
    return std::make_shared<Pool>(lease, fencedSettings(this->settings));
}

void OrderService::State::tickPool(const std::string &name, const PoolPointer &pool, absl::Time now)
{
    this->updateLeaseState(name, *pool, now);
    if (pool->deselected && !pool->releaseRequested && !pool->orders.hasOrderInFlight()) {
        pool->releaseRequested = true;
        pool->lease.release();
    }
    if (!pool->storeCallPending) {
        if (const std::optional<LeaseCall> call = pool->lease.tick(now); call.has_value()) {
            pool->storeCallPending = true;
            this->storeCalls.post([this, pool, call = *call] { this->callStore(pool, call); });
        } else if (pool->orders.needsPublishedGeneration() && now >= pool->nextGenerationRead) {
            pool->storeCallPending = true;
            this->storeCalls.post([this, pool, epoch = pool->lease.epoch()] { this->readPublishedGeneration(pool, epoch); });
        }
    }
    if (pool->deselected) {
        return;
    }
    for (const AddressedOrder &order : pool->orders.tick(now)) {
        this->record("order-issued", {{"pool", name}, {"upstream", order.dueOrder.order.upstream}, {"token", order.dueOrder.fencingToken}});
        this->orderCalls.post([this, name, pool, order] { this->send(name, pool, order); });
    }
}

void OrderService::State::updateLeaseState(const std::string &name, Pool &pool, absl::Time now)
{
    const bool holds = pool.lease.isHeld(now);
    if (holds) {
        pool.orders.leaseHeld(pool.lease.epoch(), pool.lease.acquiredAt(), pool.lease.heldUntil());
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
        pool->storeCallPending = false;
        pool->lease.writeSettled(result, absl::Now());
        return;
    }
    std::optional<StoredObject> object;
    bool storeAnswered = true;
    try {
        object = this->context.store->get(call.key);
    } catch (const StoreError &) {
        storeAnswered = false;
    }
    const std::lock_guard<std::mutex> lock(this->mutex);
    pool->storeCallPending = false;
    if (storeAnswered) {
        pool->lease.objectRead(object, absl::Now());
    } else {
        pool->lease.readFailed(absl::Now());
    }
}

void OrderService::State::readPublishedGeneration(const PoolPointer &pool, std::uint64_t epoch)
{
    std::optional<std::uint64_t> generation;
    try {
        const std::optional<StoredObject> object = this->context.store->get(pointerKey);
        generation = object.has_value() ? ConfigPointer::fromJsonText(object->value).generation() : 0;
    } catch (const StoreError &error) {
        LOG_EVERY_N(WARNING, 20) << "orders are delayed because the store can't be read: " << error.what();
    } catch (const JsonError &error) {
        LOG(ERROR) << "orders are delayed because " << pointerKey << " can't be parsed: " << error.what();
    }
    const std::lock_guard<std::mutex> lock(this->mutex);
    pool->storeCallPending = false;
    pool->nextGenerationRead = absl::Now() + this->settings.storeRetryDelay;
    if (generation.has_value()) {
        pool->nextGenerationRead = absl::InfinitePast();
        pool->orders.setPublishedGeneration(epoch, *generation);
    }
}

void OrderService::State::send(const std::string &name, const PoolPointer &pool, const AddressedOrder &order)
{
    const OrderResult answer = this->callUpstream(order);
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->handleResult(name, *pool, order, answer);
}

OrderResult OrderService::State::callUpstream(const AddressedOrder &order)
{
    const auto cancellation = std::make_shared<CallCancellation>();
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->runningCalls.insert(cancellation);
    }
    UpstreamCall call;
    call.path = orderPath;
    call.headers = {{"X-Fencing-Token", absl::StrCat(order.dueOrder.fencingToken)}};
    call.body = order.dueOrder.order.body;
    call.silenceTimeout = this->settings.orderTimeout * silenceTimeoutShare;
    OrderResult answer{OrderOutcome::Failed, "not sent before the lease ended"};
    // Checked immediately before sending, because the order may have waited for a thread or the process may have been paused.
    if (!this->stopping && absl::Now() < order.dueOrder.sendBefore) {
        answer = toOrderResult(this->upstreams.call(order.address, call, *cancellation), order.dueOrder.order.fencingHonoured);
    }
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->runningCalls.erase(cancellation);
    return answer;
}

void OrderService::State::handleResult(const std::string &name, Pool &pool, const AddressedOrder &order, const OrderResult &answer)
{
    const std::string &upstream = order.dueOrder.order.upstream;
    // The lease may have ended since the last tick, for example while the process was paused.
    this->updateLeaseState(name, pool, absl::Now());
    const bool current = pool.orders.orderSettled(upstream, order.number, answer.outcome, absl::Now());
    nlohmann::json fields = {{"pool", name}, {"upstream", upstream}, {"token", order.dueOrder.fencingToken}, {"answer", answer.text}};
    if (!current) {
        this->record("order-superseded", fields);
        return;
    }
    if (answer.outcome == OrderOutcome::Accepted) {
        pool.lastProblems.erase(upstream);
        LOG(INFO) << "upstream " << upstream << " of pool " << name << " accepted the order " << order.dueOrder.order.body;
        this->record("order-confirmed", fields);
        return;
    }
    pool.lastProblems[upstream] = answer.text;
    LOG(WARNING) << "upstream " << upstream << " of pool " << name << " did not accept the order " << order.dueOrder.order.body << " with fencing token "
                 << order.dueOrder.fencingToken << ": " << answer.text << "; it will be sent again after a delay";
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
    const bool held = pool.lease.isHeld(now);
    nlohmann::json json = {{"lease", held ? "held" : "waiting"},
                           {"epoch", held ? pool.lease.epoch() : 0},
                           {"held_ms", held ? absl::ToInt64Milliseconds(now - pool.lease.acquiredAt()) : 0},
                           {"upstreams", nlohmann::json::object()}};
    for (const UpstreamOrderStatus &status : pool.orders.status()) {
        nlohmann::json &entry = json["upstreams"][status.upstream];
        entry = {{"state", orderStateName(status.state)}, {"wanted", targetJson(status.wanted)}};
        if (status.confirmed.has_value()) {
            entry["confirmed"] = targetJson(*status.confirmed);
        }
        if (const auto problem = pool.lastProblems.find(status.upstream); problem != pool.lastProblems.end()) {
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
