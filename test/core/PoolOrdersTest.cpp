#include "PoolOrders.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "Lease.h"
#include "SimulatedStore.h"

namespace Bergamotramp {

namespace {

const absl::Time start = absl::FromUnixSeconds(1'700'000'000);
constexpr absl::Duration leaseLength = absl::Seconds(10);
constexpr absl::Duration orderTimeout = absl::Seconds(3);
const FencedOrdersSettings settings{leaseLength, orderTimeout, absl::Seconds(1), absl::Seconds(4)};

PoolTarget targetOf(std::uint64_t generation, const std::string &version, bool fencingHonoured = true)
{
    PoolTarget target;
    target.generation = generation;
    target.upstreams["a"] = {"127.0.0.1:1", version, fencingHonoured};
    target.upstreams["b"] = {"127.0.0.1:2", version, fencingHonoured};
    return target;
}

/** Reports the lease as held from @p from on and answers the request for the published generation. */
void holdLease(PoolOrders &orders, std::uint64_t epoch, std::uint64_t generation, absl::Time from = start)
{
    orders.leaseHeld(epoch, from, from + leaseLength);
    if (orders.needsPublishedGeneration()) {
        orders.setPublishedGeneration(epoch, generation);
    }
}

std::vector<std::string> describeOrders(const std::vector<AddressedOrder> &orders)
{
    std::vector<std::string> names;
    for (const AddressedOrder &order : orders) {
        names.push_back(order.dueOrder.order.upstream + "=" + order.dueOrder.order.body);
    }
    return names;
}

using Names = std::vector<std::string>;

// Guards against a changed version that is not sent to the upstreams, and against orders for a version that is loaded already.
TEST(PoolOrdersTest, onlyChangesAreOrdered)
{
    PoolOrders orders(settings);
    orders.setTarget(targetOf(1, "v1"));
    EXPECT_TRUE(orders.tick(start).empty());
    holdLease(orders, 1, 1);
    const std::vector<AddressedOrder> first = orders.tick(start);
    ASSERT_EQ(describeOrders(first), (Names{"a=v1", "b=v1"}));
    EXPECT_EQ(first[0].address, "127.0.0.1:1");
    EXPECT_EQ(first[0].dueOrder.fencingToken, 1U);
    EXPECT_TRUE(orders.hasOrderInFlight());
    EXPECT_TRUE(orders.orderSettled("a", 1, OrderOutcome::Accepted, start));
    EXPECT_TRUE(orders.orderSettled("b", 2, OrderOutcome::Accepted, start));
    EXPECT_FALSE(orders.hasOrderInFlight());
    EXPECT_EQ(orders.status()[0].state, OrderState::Confirmed);
    ASSERT_TRUE(orders.status()[0].confirmed.has_value());
    orders.setTarget(targetOf(2, "v1"));
    EXPECT_TRUE(orders.tick(start).empty());
    PoolTarget mixed = targetOf(3, "v1");
    mixed.upstreams["b"].body = "v2";
    mixed.upstreams["c"] = {"127.0.0.1:3", "v2", true};
    orders.setTarget(mixed);
    EXPECT_EQ(describeOrders(orders.tick(start)), (Names{"b=v2", "c=v2"}));
}

// Guards against a newer order that is sent while an older one is in flight, and against confirming the newer one when the older one completes.
TEST(PoolOrdersTest, newerOrderFollowsTheOneInFlight)
{
    PoolOrders orders(settings);
    orders.setTarget(targetOf(1, "v1"));
    holdLease(orders, 1, 1);
    EXPECT_EQ(orders.tick(start).size(), 2U);
    orders.setTarget(targetOf(2, "v2"));
    EXPECT_TRUE(orders.tick(start).empty());
    EXPECT_TRUE(orders.orderSettled("a", 1, OrderOutcome::Accepted, start));
    ASSERT_TRUE(orders.status()[0].confirmed.has_value());
    EXPECT_EQ(orders.status()[0].confirmed->body, "v1");
    EXPECT_EQ(orders.status()[0].state, OrderState::Waiting);
    EXPECT_EQ(describeOrders(orders.tick(start)), (Names{"a=v2"}));
    // The version in between may have been sent, so a change back to the confirmed version is ordered as well.
    orders.setTarget(targetOf(3, "v1"));
    EXPECT_TRUE(orders.orderSettled("a", 3, OrderOutcome::Accepted, start));
    EXPECT_EQ(describeOrders(orders.tick(start)), (Names{"a=v1"}));
}

// Guards against a holder that relies on confirmations from before another host held the lease.
TEST(PoolOrdersTest, everythingIsOrderedAgainAfterAnotherHolder)
{
    PoolOrders orders(settings);
    orders.setTarget(targetOf(1, "v1"));
    holdLease(orders, 4, 1);
    for (const AddressedOrder &order : orders.tick(start)) {
        orders.orderSettled(order.dueOrder.order.upstream, order.number, OrderOutcome::Accepted, start);
    }
    orders.leaseLost();
    const absl::Time later = start + absl::Minutes(1);
    holdLease(orders, 5, 1, later);
    EXPECT_TRUE(orders.tick(later).empty());
    orders.leaseLost();
    // Another host may have changed what the upstream serves since it was confirmed.
    EXPECT_EQ(orders.status()[0].state, OrderState::Waiting);
    EXPECT_FALSE(orders.orderSettled("a", 1, OrderOutcome::Accepted, later));
    EXPECT_FALSE(orders.needsPublishedGeneration());
    holdLease(orders, 7, 1, later);
    EXPECT_EQ(orders.tick(later).size(), 2U);
}

// Guards against a new holder with an outdated catalogue that reverts the former holder's orders.
TEST(PoolOrdersTest, noOrdersFromAnOutdatedCatalogue)
{
    PoolOrders orders(settings);
    orders.setTarget(targetOf(4, "v1"));
    orders.leaseHeld(2, start, start + leaseLength);
    EXPECT_TRUE(orders.needsPublishedGeneration());
    EXPECT_TRUE(orders.tick(start).empty());
    orders.setPublishedGeneration(1, 4);
    EXPECT_TRUE(orders.needsPublishedGeneration());
    orders.setPublishedGeneration(2, 5);
    EXPECT_FALSE(orders.needsPublishedGeneration());
    EXPECT_TRUE(orders.tick(start).empty());
    orders.setTarget(targetOf(5, "v2"));
    EXPECT_EQ(describeOrders(orders.tick(start)), (Names{"a=v2", "b=v2"}));
}

// Guards against an order that an upstream without fencing carries out after the lease has ended.
TEST(PoolOrdersTest, noOrderOutlivesTheLeaseIfTokensAreIgnored)
{
    PoolOrders orders(settings);
    PoolTarget target = targetOf(1, "v1");
    target.upstreams["b"].fencingHonoured = false;
    holdLease(orders, 1, 1);
    orders.setTarget(target);
    const absl::Time late = start + leaseLength - orderTimeout;
    EXPECT_EQ(describeOrders(orders.tick(late)), (Names{"a=v1"}));
    holdLease(orders, 1, 1, start + absl::Seconds(1));
    const std::vector<AddressedOrder> renewed = orders.tick(late);
    ASSERT_EQ(describeOrders(renewed), (Names{"b=v1"}));
    EXPECT_EQ(renewed[0].dueOrder.sendBefore, late + absl::Seconds(1));
}

// Guards against an earlier order of the same holder, whose response was lost, that takes effect after a newer one.
TEST(PoolOrdersTest, unansweredOrderExpiresBeforeTheNextOne)
{
    PoolOrders orders(settings);
    orders.setTarget(targetOf(1, "v1"));
    holdLease(orders, 1, 1);
    EXPECT_EQ(orders.tick(start).size(), 2U);
    EXPECT_TRUE(orders.orderSettled("a", 1, OrderOutcome::Unanswered, start));
    EXPECT_TRUE(orders.orderSettled("b", 2, OrderOutcome::Failed, start));
    EXPECT_EQ(orders.status()[0].state, OrderState::Retrying);
    orders.setTarget(targetOf(2, "v2"));
    EXPECT_EQ(describeOrders(orders.tick(start)), (Names{"b=v2"}));
    EXPECT_TRUE(orders.tick(start + orderTimeout - absl::Milliseconds(1)).empty());
    EXPECT_EQ(describeOrders(orders.tick(start + orderTimeout)), (Names{"a=v2"}));
}

// Guards against an order in flight that takes effect after the next one, or whose late response confirms the next one, when an expired lease
// is renewed with the same token.
TEST(PoolOrdersTest, orderInFlightExpiresBeforeARenewedLeaseOrdersAgain)
{
    PoolOrders orders(settings);
    orders.setTarget(targetOf(1, "v1"));
    holdLease(orders, 1, 1);
    EXPECT_EQ(orders.tick(start).size(), 2U);
    orders.leaseLost();
    orders.setTarget(targetOf(2, "v2"));
    const absl::Time renewed = start + leaseLength;
    holdLease(orders, 1, 1, renewed);
    EXPECT_TRUE(orders.tick(renewed + orderTimeout - absl::Milliseconds(1)).empty());
    EXPECT_EQ(describeOrders(orders.tick(renewed + orderTimeout)), (Names{"a=v2", "b=v2"}));
    EXPECT_FALSE(orders.orderSettled("a", 1, OrderOutcome::Accepted, renewed + orderTimeout));
    EXPECT_TRUE(orders.orderSettled("a", 3, OrderOutcome::Accepted, renewed + orderTimeout));
}

// Guards against orders to upstreams that were removed from the service file or are marked as leaving.
TEST(PoolOrdersTest, removedAndLeavingUpstreamsGetNoOrder)
{
    PoolOrders orders(settings);
    orders.setTarget(targetOf(1, "v1"));
    PoolTarget smaller = targetOf(2, "v1");
    smaller.upstreams.erase("b");
    orders.setTarget(smaller);
    holdLease(orders, 1, 1);
    EXPECT_EQ(describeOrders(orders.tick(start)), (Names{"a=v1"}));
    EXPECT_FALSE(orders.orderSettled("b", 1, OrderOutcome::Accepted, start));
    ServiceSpec spec;
    spec.name = spec.model = "modelo";
    spec.version = "v2";
    spec.upstreams = {{"a", "127.0.0.1:1", "nordeste", "recife-a", false},
                      {"b", "127.0.0.1:2", "nordeste", "recife-a", true},
                      {"c", "127.0.0.1:3", "sudeste", "saopaulo-a", false}};
    const PoolTarget target = PoolTarget::of(spec, "nordeste", 3);
    ASSERT_EQ(target.upstreams.size(), 1U);
    EXPECT_EQ(target.upstreams.at("a").body, R"({"adapter":"","model":"modelo","order":"load","version":"v2"})");
}

/** A random number below @p limit. With rc::gen::inRange alone the first runs use small numbers, and no lease would ever end in them. */
int randomBelow(int limit)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, limit));
}

/** One simulated host: its lease, its orders and the generation of the catalogue that it knows. */
struct OrderingHost {
    std::unique_ptr<Lease> lease;
    std::unique_ptr<PoolOrders> orders;
    std::optional<LeaseCall> call;
    std::uint64_t generation = 0;
    /** Epoch at the time of the read and generation read from the store; not passed to the orders yet. */
    std::optional<std::pair<std::uint64_t, std::uint64_t>> published;
    absl::Duration clockError;
    absl::Time pausedUntil = absl::InfinitePast();
    /** Until then the host's calls to the store fail. */
    absl::Time cutOffUntil = absl::InfinitePast();
};

struct OrderInFlight {
    std::size_t host = 0;
    AddressedOrder order;
    /** When the upstream carries out the order; infinite until it is sent. */
    absl::Time arrival = absl::InfiniteFuture();
    /** Whether an outcome has been reported to the host. */
    bool reported = false;
};

/** Simulates hosts with pauses and outdated catalogues that send orders to one upstream. Checks that the upstream never goes back to an older generation. */
class OrderSimulation
{
public:
    explicit OrderSimulation(bool fencingHonoured) : fencingHonoured(fencingHonoured), maxDeliveryTime(fencingHonoured ? leaseLength * 2 : orderTimeout)
    {
        for (std::size_t index = 0; index < this->hosts.size(); ++index) {
            this->hosts[index].lease =
                std::make_unique<Lease>(LeaseSettings{"pool", absl::StrCat("host-", index), index + 1, leaseLength, absl::Seconds(3), absl::Milliseconds(200)});
            this->hosts[index].orders =
                std::make_unique<PoolOrders>(FencedOrdersSettings{leaseLength, this->maxDeliveryTime, absl::Seconds(1), absl::Seconds(4)});
            this->hosts[index].clockError = absl::Hours(static_cast<std::int64_t>(index) - 1);
        }
    }

    void step()
    {
        // Steps are mostly short, so that the lease can change its holder while an order of the former holder is in flight.
        this->now += absl::Milliseconds(randomBelow(20) == 0 ? randomBelow(2000) : randomBelow(40));
        this->deliverDueOrders();
        const std::size_t index = static_cast<std::size_t>(randomBelow(static_cast<int>(this->hosts.size())));
        switch (randomBelow(10)) {
        case 0:
            this->generation += static_cast<std::uint64_t>(randomBelow(2));
            return;
        case 1:
            this->store.applyDelayedCall(0);
            this->injectFault(this->hosts[index]);
            return;
        case 2:
        case 3:
            this->send(randomBelow(4) == 0);
            return;
        default:
            for (int count = 0; count < 3; ++count) {
                this->runHost(index, randomBelow(12));
            }
        }
    }

    std::uint64_t generationsLoaded = 0;
    /** Number of orders that arrived after an order of a later holder. */
    std::uint64_t lateOrders = 0;

private:
    void loadLatestCatalogue(OrderingHost &host)
    {
        host.generation = this->generation;
        PoolTarget target;
        target.generation = host.generation;
        target.upstreams["a"] = {"127.0.0.1:1", absl::StrCat(host.generation), this->fencingHonoured};
        host.orders->setTarget(target);
    }

    // Another host can only send orders beside the holder if the lease ends while the holder is cut off from the store or paused.
    void injectFault(OrderingHost &host)
    {
        const absl::Duration length = absl::Seconds(randomBelow(20));
        switch (randomBelow(30)) {
        case 0:
            host.pausedUntil = this->now + length;
            return;
        case 1:
            host.cutOffUntil = this->now + length;
            return;
        default:
            return;
        }
    }

    void runHost(std::size_t index, int fault)
    {
        OrderingHost &host = this->hosts[index];
        if (this->now < host.pausedUntil) {
            return;
        }
        if (randomBelow(3) == 0) {
            this->loadLatestCatalogue(host);
        }
        const absl::Time time = this->now + host.clockError;
        if (host.call.has_value()) {
            this->answerCall(host, time, this->now < host.cutOffUntil ? 0 : fault);
        } else if (host.published.has_value()) {
            host.orders->setPublishedGeneration(host.published->first, host.published->second);
            host.published.reset();
        } else {
            host.call = host.lease->tick(time);
        }
        if (host.lease->isHeld(time)) {
            host.orders->leaseHeld(host.lease->epoch(), host.lease->acquiredAt(), host.lease->heldUntil());
        } else {
            host.orders->leaseLost();
        }
        if (!host.published.has_value() && host.orders->needsPublishedGeneration()) {
            host.published = {host.lease->epoch(), this->generation};
        }
        for (const AddressedOrder &order : host.orders->tick(time)) {
            this->inFlight.push_back({index, order});
        }
    }

    void answerCall(OrderingHost &host, absl::Time time, int fault)
    {
        const LeaseCall call = *std::exchange(host.call, std::nullopt);
        if (call.value.has_value()) {
            host.lease->writeSettled(this->store.put(call.key, *call.value, call.precondition, fault), time);
        } else if (fault == 0) {
            host.lease->readFailed(time);
        } else {
            host.lease->objectRead(this->store.get(call.key), time);
        }
    }

    // A host sends an order some time after it was issued, if the send deadline has not passed. The upstream carries it out at any time before the
    // order expires.
    void send(bool loseResponse)
    {
        const auto found =
            std::find_if(this->inFlight.begin(), this->inFlight.end(), [](const OrderInFlight &order) { return order.arrival == absl::InfiniteFuture(); });
        if (found == this->inFlight.end() || this->now < this->hosts[found->host].pausedUntil) {
            return;
        }
        if (this->now + this->hosts[found->host].clockError >= found->order.dueOrder.sendBefore) {
            this->report(*found, OrderOutcome::Failed);
            this->inFlight.erase(found);
            return;
        }
        found->arrival = this->now + this->maxDeliveryTime * (randomBelow(2) == 0 ? 0.0 : randomBelow(100) / 100.0);
        // The connection may break at once, while the order is still in flight.
        if (loseResponse) {
            this->report(*found, OrderOutcome::Unanswered);
        }
    }

    OrderOutcome applyOrder(const DueOrder &dueOrder)
    {
        this->lateOrders += dueOrder.fencingToken < this->highestToken ? 1 : 0;
        if (this->fencingHonoured && dueOrder.fencingToken < this->highestToken) {
            return OrderOutcome::Fenced;
        }
        this->highestToken = std::max(this->highestToken, dueOrder.fencingToken);
        const std::uint64_t ordered = std::strtoull(dueOrder.order.body.c_str(), nullptr, 10);
        RC_ASSERT(ordered >= this->loaded);
        this->generationsLoaded += ordered > this->loaded ? 1 : 0;
        this->loaded = ordered;
        return OrderOutcome::Accepted;
    }

    void deliverDueOrders()
    {
        std::stable_sort(
            this->inFlight.begin(), this->inFlight.end(), [](const OrderInFlight &left, const OrderInFlight &right) { return left.arrival < right.arrival; });
        while (!this->inFlight.empty() && this->inFlight.front().arrival <= this->now) {
            OrderInFlight order = this->inFlight.front();
            this->inFlight.erase(this->inFlight.begin());
            this->report(order, this->applyOrder(order.order.dueOrder));
        }
    }

    void report(OrderInFlight &order, OrderOutcome outcome)
    {
        if (std::exchange(order.reported, true)) {
            return;
        }
        OrderingHost &host = this->hosts[order.host];
        host.orders->orderSettled("a", order.order.number, outcome, this->now + host.clockError);
    }

    const bool fencingHonoured;
    /** Longest time that an order is in flight. If the upstream checks tokens, an order may arrive after the end of the lease. */
    const absl::Duration maxDeliveryTime;
    SimulatedStore store;
    std::array<OrderingHost, 3> hosts;
    std::vector<OrderInFlight> inFlight;
    absl::Time now = start;
    std::uint64_t generation = 1;
    std::uint64_t highestToken = 0;
    std::uint64_t loaded = 0;
};

// Guards against an older order that takes effect after a newer one when responses are lost or late and hosts are paused.
TEST(PoolOrdersTest, noOlderOrderTakesEffectAfterANewerOne)
{
    for (const bool fencingHonoured : {true, false}) {
        std::uint64_t generationsLoaded = 0;
        std::uint64_t lateOrders = 0;
        EXPECT_TRUE(rc::check(absl::StrCat("orders, fencing honoured: ", fencingHonoured), [&generationsLoaded, &lateOrders, fencingHonoured] {
            OrderSimulation simulation(fencingHonoured);
            for (int count = 0; count < 1500; ++count) {
                simulation.step();
            }
            generationsLoaded += simulation.generationsLoaded;
            lateOrders += simulation.lateOrders;
        }));
        EXPECT_GT(generationsLoaded, 200U);
        // If tokens are ignored, new holders wait until no earlier order can arrive any more.
        EXPECT_EQ(lateOrders > 0, fencingHonoured);
    }
}

} // namespace

} // namespace Bergamotramp
