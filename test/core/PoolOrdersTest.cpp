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

/** Holds the lease from the start, with the published generation known. */
void hold(PoolOrders &orders, std::uint64_t epoch, std::uint64_t generation, absl::Time from = start)
{
    orders.leaseHeld(epoch, from, from + leaseLength);
    if (orders.needsGeneration()) {
        orders.publishedGeneration(epoch, generation);
    }
}

std::vector<std::string> namesOf(const std::vector<AddressedOrder> &orders)
{
    std::vector<std::string> names;
    for (const AddressedOrder &order : orders) {
        names.push_back(order.issue.order.upstream + "=" + order.issue.order.body);
    }
    return names;
}

using Names = std::vector<std::string>;

// Guards against a changed version that no upstream hears of, and against orders for what is loaded already.
TEST(PoolOrdersTest, onlyChangesAreOrdered)
{
    PoolOrders orders(settings);
    orders.setTarget(targetOf(1, "v1"));
    EXPECT_TRUE(orders.tick(start).empty());
    hold(orders, 1, 1);
    const std::vector<AddressedOrder> first = orders.tick(start);
    ASSERT_EQ(namesOf(first), (Names{"a=v1", "b=v1"}));
    EXPECT_EQ(first[0].address, "127.0.0.1:1");
    EXPECT_EQ(first[0].issue.token, 1U);
    EXPECT_TRUE(orders.underWay());
    EXPECT_TRUE(orders.settled("a", 1, OrderOutcome::Done, start));
    EXPECT_TRUE(orders.settled("b", 2, OrderOutcome::Done, start));
    EXPECT_FALSE(orders.underWay());
    EXPECT_EQ(orders.status()[0].state, OrderState::Confirmed);
    ASSERT_TRUE(orders.status()[0].confirmed.has_value());
    orders.setTarget(targetOf(2, "v1"));
    EXPECT_TRUE(orders.tick(start).empty());
    PoolTarget mixed = targetOf(3, "v1");
    mixed.upstreams["b"].body = "v2";
    mixed.upstreams["c"] = {"127.0.0.1:3", "v2", true};
    orders.setTarget(mixed);
    EXPECT_EQ(namesOf(orders.tick(start)), (Names{"b=v2", "c=v2"}));
}

// Guards against an older order that is under way while a newer one overtakes it, and against a confirmation of the wrong one.
TEST(PoolOrdersTest, newerOrderFollowsTheOneUnderWay)
{
    PoolOrders orders(settings);
    orders.setTarget(targetOf(1, "v1"));
    hold(orders, 1, 1);
    EXPECT_EQ(orders.tick(start).size(), 2U);
    orders.setTarget(targetOf(2, "v2"));
    EXPECT_TRUE(orders.tick(start).empty());
    EXPECT_TRUE(orders.settled("a", 1, OrderOutcome::Done, start));
    ASSERT_TRUE(orders.status()[0].confirmed.has_value());
    EXPECT_EQ(orders.status()[0].confirmed->body, "v1");
    EXPECT_EQ(orders.status()[0].state, OrderState::Waiting);
    EXPECT_EQ(namesOf(orders.tick(start)), (Names{"a=v2"}));
    // The version in between may have been sent, so a return to the confirmed version is ordered as well.
    orders.setTarget(targetOf(3, "v1"));
    EXPECT_TRUE(orders.settled("a", 3, OrderOutcome::Done, start));
    EXPECT_EQ(namesOf(orders.tick(start)), (Names{"a=v1"}));
}

// Guards against a new holder that trusts what it confirmed before another host held the lease.
TEST(PoolOrdersTest, everythingIsOrderedAgainAfterAnotherHolder)
{
    PoolOrders orders(settings);
    orders.setTarget(targetOf(1, "v1"));
    hold(orders, 4, 1);
    for (const AddressedOrder &order : orders.tick(start)) {
        orders.settled(order.issue.order.upstream, order.number, OrderOutcome::Done, start);
    }
    orders.leaseLost();
    const absl::Time later = start + absl::Minutes(1);
    hold(orders, 5, 1, later);
    EXPECT_TRUE(orders.tick(later).empty());
    orders.leaseLost();
    // What was confirmed under an earlier lease says nothing of the upstream now.
    EXPECT_EQ(orders.status()[0].state, OrderState::Waiting);
    EXPECT_FALSE(orders.settled("a", 1, OrderOutcome::Done, later));
    EXPECT_FALSE(orders.needsGeneration());
    hold(orders, 7, 1, later);
    EXPECT_EQ(orders.tick(later).size(), 2U);
}

// Guards against a new holder that is behind and takes back what the former holder ordered.
TEST(PoolOrdersTest, olderCatalogueIsNotOrdered)
{
    PoolOrders orders(settings);
    orders.setTarget(targetOf(4, "v1"));
    orders.leaseHeld(2, start, start + leaseLength);
    EXPECT_TRUE(orders.needsGeneration());
    EXPECT_TRUE(orders.tick(start).empty());
    orders.publishedGeneration(1, 4);
    EXPECT_TRUE(orders.needsGeneration());
    orders.publishedGeneration(2, 5);
    EXPECT_FALSE(orders.needsGeneration());
    EXPECT_TRUE(orders.tick(start).empty());
    orders.setTarget(targetOf(5, "v2"));
    EXPECT_EQ(namesOf(orders.tick(start)), (Names{"a=v2", "b=v2"}));
}

// Guards against an order that an upstream without fencing carries out after the lease has ended.
TEST(PoolOrdersTest, noOrderOutlivesTheLeaseWhereTokensAreIgnored)
{
    PoolOrders orders(settings);
    PoolTarget target = targetOf(1, "v1");
    target.upstreams["b"].fencingHonoured = false;
    hold(orders, 1, 1);
    orders.setTarget(target);
    const absl::Time late = start + leaseLength - orderTimeout;
    EXPECT_EQ(namesOf(orders.tick(late)), (Names{"a=v1"}));
    hold(orders, 1, 1, start + absl::Seconds(1));
    const std::vector<AddressedOrder> renewed = orders.tick(late);
    ASSERT_EQ(namesOf(renewed), (Names{"b=v1"}));
    EXPECT_EQ(renewed[0].issue.sendBefore, late + absl::Seconds(1));
}

// Guards against a newer order that is overtaken by an earlier one of the same holder whose answer never came.
TEST(PoolOrdersTest, unansweredOrderExpiresBeforeTheNextOne)
{
    PoolOrders orders(settings);
    orders.setTarget(targetOf(1, "v1"));
    hold(orders, 1, 1);
    EXPECT_EQ(orders.tick(start).size(), 2U);
    EXPECT_TRUE(orders.settled("a", 1, OrderOutcome::Unanswered, start));
    EXPECT_TRUE(orders.settled("b", 2, OrderOutcome::Failed, start));
    EXPECT_EQ(orders.status()[0].state, OrderState::Retrying);
    orders.setTarget(targetOf(2, "v2"));
    EXPECT_EQ(namesOf(orders.tick(start)), (Names{"b=v2"}));
    EXPECT_TRUE(orders.tick(start + orderTimeout - absl::Milliseconds(1)).empty());
    EXPECT_EQ(namesOf(orders.tick(start + orderTimeout)), (Names{"a=v2"}));
}

// Guards against an order that is overtaken by the next one, or whose late answer confirms it, when a lapsed lease is renewed under its token.
TEST(PoolOrdersTest, orderUnderWayExpiresBeforeARenewedLeaseOrdersAgain)
{
    PoolOrders orders(settings);
    orders.setTarget(targetOf(1, "v1"));
    hold(orders, 1, 1);
    EXPECT_EQ(orders.tick(start).size(), 2U);
    orders.leaseLost();
    orders.setTarget(targetOf(2, "v2"));
    const absl::Time renewed = start + leaseLength;
    hold(orders, 1, 1, renewed);
    EXPECT_TRUE(orders.tick(renewed + orderTimeout - absl::Milliseconds(1)).empty());
    EXPECT_EQ(namesOf(orders.tick(renewed + orderTimeout)), (Names{"a=v2", "b=v2"}));
    EXPECT_FALSE(orders.settled("a", 1, OrderOutcome::Done, renewed + orderTimeout));
    EXPECT_TRUE(orders.settled("a", 3, OrderOutcome::Done, renewed + orderTimeout));
}

// Guards against upstreams that left the service file and still get orders.
TEST(PoolOrdersTest, removedAndLeavingUpstreamsGetNoOrder)
{
    PoolOrders orders(settings);
    orders.setTarget(targetOf(1, "v1"));
    PoolTarget smaller = targetOf(2, "v1");
    smaller.upstreams.erase("b");
    orders.setTarget(smaller);
    hold(orders, 1, 1);
    EXPECT_EQ(namesOf(orders.tick(start)), (Names{"a=v1"}));
    EXPECT_FALSE(orders.settled("b", 1, OrderOutcome::Done, start));
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

/** A number below @p limit; rc::gen::inRange alone prefers small numbers in the first runs, in which no lease would ever end. */
int pick(int limit)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, limit));
}

/** One host of the property: its lease, its orders and what it knows of the configuration. */
struct OrderingHost {
    std::unique_ptr<Lease> lease;
    std::unique_ptr<PoolOrders> orders;
    std::optional<LeaseCall> call;
    std::uint64_t generation = 0;
    /** Read from the store and not passed on yet, with the epoch at the time of the call. */
    std::optional<std::pair<std::uint64_t, std::uint64_t>> published;
    absl::Duration clockError;
    absl::Time pausedUntil = absl::InfinitePast();
    /** Until then the store refuses the host's calls. */
    absl::Time cutOffUntil = absl::InfinitePast();
};

struct OrderOnTheWay {
    std::size_t host = 0;
    AddressedOrder order;
    /** When the upstream carries it out; infinite until it is sent. */
    absl::Time arrival = absl::InfiniteFuture();
    /** The host has been told an outcome. */
    bool reported = false;
};

/** Hosts with pauses and late views around one upstream, whose order of effects is checked. */
class OrderingFleet
{
public:
    explicit OrderingFleet(bool fencingHonoured) : fencingHonoured(fencingHonoured), longestWay(fencingHonoured ? leaseLength * 2 : orderTimeout)
    {
        for (std::size_t index = 0; index < this->hosts.size(); ++index) {
            this->hosts[index].lease =
                std::make_unique<Lease>(LeaseSettings{"pool", absl::StrCat("host-", index), index + 1, leaseLength, absl::Seconds(3), absl::Milliseconds(200)});
            this->hosts[index].orders = std::make_unique<PoolOrders>(FencedOrdersSettings{leaseLength, this->longestWay, absl::Seconds(1), absl::Seconds(4)});
            this->hosts[index].clockError = absl::Hours(static_cast<std::int64_t>(index) - 1);
        }
    }

    void step()
    {
        // Mostly short, so that a takeover fits into the time for which an order of the former holder is on its way.
        this->now += absl::Milliseconds(pick(20) == 0 ? pick(2000) : pick(40));
        this->arrive();
        const std::size_t index = static_cast<std::size_t>(pick(static_cast<int>(this->hosts.size())));
        switch (pick(10)) {
        case 0:
            this->generation += static_cast<std::uint64_t>(pick(2));
            return;
        case 1:
            this->store.settleLate(0);
            this->disturb(this->hosts[index]);
            return;
        case 2:
        case 3:
            this->send(pick(4) == 0);
            return;
        default:
            for (int count = 0; count < 3; ++count) {
                this->run(index, pick(12));
            }
        }
    }

    std::uint64_t effects = 0;
    /** Orders that arrived after one of a later holder. */
    std::uint64_t overtaken = 0;

private:
    void adopt(OrderingHost &host)
    {
        host.generation = this->generation;
        PoolTarget target;
        target.generation = host.generation;
        target.upstreams["a"] = {"127.0.0.1:1", absl::StrCat(host.generation), this->fencingHonoured};
        host.orders->setTarget(target);
    }

    // The lease has to end while its holder goes on, and while it is paused, for another host to order next to it.
    void disturb(OrderingHost &host)
    {
        const absl::Duration length = absl::Seconds(pick(20));
        switch (pick(30)) {
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

    void run(std::size_t index, int fault)
    {
        OrderingHost &host = this->hosts[index];
        if (this->now < host.pausedUntil) {
            return;
        }
        if (pick(3) == 0) {
            this->adopt(host);
        }
        const absl::Time time = this->now + host.clockError;
        if (host.call.has_value()) {
            this->answerCall(host, time, this->now < host.cutOffUntil ? 0 : fault);
        } else if (host.published.has_value()) {
            host.orders->publishedGeneration(host.published->first, host.published->second);
            host.published.reset();
        } else {
            host.call = host.lease->tick(time);
        }
        if (host.lease->holds(time)) {
            host.orders->leaseHeld(host.lease->epoch(), host.lease->takenAt(), host.lease->heldUntil());
        } else {
            host.orders->leaseLost();
        }
        if (!host.published.has_value() && host.orders->needsGeneration()) {
            host.published = {host.lease->epoch(), this->generation};
        }
        for (const AddressedOrder &order : host.orders->tick(time)) {
            this->onTheWay.push_back({index, order});
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

    // A host sends with a delay, after a last look at the time; the upstream carries the order out at any time before it expires.
    void send(bool loseAnswer)
    {
        const auto found =
            std::find_if(this->onTheWay.begin(), this->onTheWay.end(), [](const OrderOnTheWay &order) { return order.arrival == absl::InfiniteFuture(); });
        if (found == this->onTheWay.end() || this->now < this->hosts[found->host].pausedUntil) {
            return;
        }
        if (this->now + this->hosts[found->host].clockError >= found->order.issue.sendBefore) {
            this->report(*found, OrderOutcome::Failed);
            this->onTheWay.erase(found);
            return;
        }
        found->arrival = this->now + this->longestWay * (pick(2) == 0 ? 0.0 : pick(100) / 100.0);
        // The connection may break at once, while the order is still on its way.
        if (loseAnswer) {
            this->report(*found, OrderOutcome::Unanswered);
        }
    }

    OrderOutcome carryOut(const IssueOrder &issue)
    {
        this->overtaken += issue.token < this->highestToken ? 1 : 0;
        if (this->fencingHonoured && issue.token < this->highestToken) {
            return OrderOutcome::Fenced;
        }
        this->highestToken = std::max(this->highestToken, issue.token);
        const std::uint64_t ordered = std::strtoull(issue.order.body.c_str(), nullptr, 10);
        RC_ASSERT(ordered >= this->loaded);
        this->effects += ordered > this->loaded ? 1 : 0;
        this->loaded = ordered;
        return OrderOutcome::Done;
    }

    void arrive()
    {
        std::stable_sort(
            this->onTheWay.begin(), this->onTheWay.end(), [](const OrderOnTheWay &left, const OrderOnTheWay &right) { return left.arrival < right.arrival; });
        while (!this->onTheWay.empty() && this->onTheWay.front().arrival <= this->now) {
            OrderOnTheWay order = this->onTheWay.front();
            this->onTheWay.erase(this->onTheWay.begin());
            this->report(order, this->carryOut(order.order.issue));
        }
    }

    void report(OrderOnTheWay &order, OrderOutcome outcome)
    {
        if (std::exchange(order.reported, true)) {
            return;
        }
        OrderingHost &host = this->hosts[order.host];
        host.orders->settled("a", order.order.number, outcome, this->now + host.clockError);
    }

    const bool fencingHonoured;
    /** For which an order may be on its way; where tokens are checked, it may outlive the lease. */
    const absl::Duration longestWay;
    SimulatedStore store;
    std::array<OrderingHost, 3> hosts;
    std::vector<OrderOnTheWay> onTheWay;
    absl::Time now = start;
    std::uint64_t generation = 1;
    std::uint64_t highestToken = 0;
    std::uint64_t loaded = 0;
};

// Guards against an older order that takes effect after a newer one, whatever is lost, late or paused.
TEST(PoolOrdersTest, noOlderOrderTakesEffectAfterANewerOne)
{
    for (const bool fencingHonoured : {true, false}) {
        std::uint64_t effects = 0;
        std::uint64_t overtaken = 0;
        EXPECT_TRUE(rc::check(absl::StrCat("orders, fencing honoured: ", fencingHonoured), [&effects, &overtaken, fencingHonoured] {
            OrderingFleet fleet(fencingHonoured);
            for (int count = 0; count < 1500; ++count) {
                fleet.step();
            }
            effects += fleet.effects;
            overtaken += fleet.overtaken;
        }));
        EXPECT_GT(effects, 200U);
        // Where tokens are ignored, the wait leaves no order that could arrive late.
        EXPECT_EQ(overtaken > 0, fencingHonoured);
    }
}

} // namespace

} // namespace Bergamotramp
