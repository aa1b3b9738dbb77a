#include "PoolOrders.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace Bergamotramp {

const char *orderStateName(OrderState state)
{
    switch (state) {
    case OrderState::Waiting:
        return "waiting";
    case OrderState::Issued:
        return "issued";
    case OrderState::Retrying:
        return "retrying";
    case OrderState::Confirmed:
        return "confirmed";
    }
    return "";
}

PoolTarget PoolTarget::of(const ServiceSpec &spec, const std::string &region, std::uint64_t generation)
{
    PoolTarget target;
    target.generation = generation;
    const std::string body = nlohmann::json({{"order", "load"}, {"model", spec.model}, {"adapter", spec.adapter}, {"version", spec.version}})
                                 .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    for (const UpstreamSpec &upstream : spec.upstreams) {
        if (upstream.region == region && !upstream.leaving) {
            target.upstreams[upstream.name] = {upstream.address, body, spec.fencingHonoured};
        }
    }
    return target;
}

PoolOrders::PoolOrders(FencedOrdersSettings settings) : fencedOrders(settings)
{
}

void PoolOrders::setTarget(const PoolTarget &newTarget)
{
    this->generation = newTarget.generation;
    for (auto entry = this->upstreams.begin(); entry != this->upstreams.end();) {
        if (newTarget.upstreams.contains(entry->first)) {
            ++entry;
        } else {
            this->fencedOrders.remove(entry->first);
            entry = this->upstreams.erase(entry);
        }
    }
    for (const auto &[name, target] : newTarget.upstreams) {
        const auto found = this->upstreams.find(name);
        // A target that changes back to the confirmed one is ordered again, since the order for the target in between may have been sent.
        if (found == this->upstreams.end() || found->second.wanted != target) {
            this->setUpstreamTarget(name, target);
        }
    }
}

void PoolOrders::setUpstreamTarget(const std::string &name, const OrderTarget &target)
{
    Upstream &upstream = this->upstreams[name];
    upstream.wanted = target;
    upstream.failed = false;
    this->fencedOrders.setWanted({name, target.body, target.fencingHonoured});
}

void PoolOrders::leaseHeld(std::uint64_t epoch, absl::Time acquiredAt, absl::Time heldUntil)
{
    if (epoch != this->lastEpoch) {
        this->clearIssuedOrders();
        // If this host held the previous epoch too, no other host can have sent orders in between.
        if (this->lastEpoch == 0 || epoch != this->lastEpoch + 1) {
            this->minGeneration.reset();
            this->orderAllUpstreams();
        }
        this->lastEpoch = epoch;
    }
    this->held = true;
    this->fencedOrders.leaseHeld(epoch, acquiredAt, heldUntil);
}

void PoolOrders::orderAllUpstreams()
{
    for (auto &[name, upstream] : this->upstreams) {
        upstream.confirmed.reset();
        this->setUpstreamTarget(name, upstream.wanted);
    }
}

void PoolOrders::leaseLost()
{
    this->held = false;
    this->clearIssuedOrders();
    this->fencedOrders.leaseLost();
}

void PoolOrders::clearIssuedOrders()
{
    for (auto &[name, upstream] : this->upstreams) {
        upstream.issued.reset();
    }
}

bool PoolOrders::needsPublishedGeneration() const
{
    return this->held && !this->minGeneration.has_value();
}

void PoolOrders::setPublishedGeneration(std::uint64_t epoch, std::uint64_t published)
{
    if (epoch == this->lastEpoch) {
        this->minGeneration = published;
    }
}

std::vector<AddressedOrder> PoolOrders::tick(absl::Time now)
{
    std::vector<AddressedOrder> dueOrders;
    if (!this->minGeneration.has_value() || this->generation < *this->minGeneration) {
        return dueOrders;
    }
    for (DueOrder &dueOrder : this->fencedOrders.tick(now)) {
        Upstream &upstream = this->upstreams.at(dueOrder.order.upstream);
        upstream.issued = upstream.wanted;
        upstream.issuedNumber = ++this->lastOrderNumber;
        dueOrders.push_back({std::move(dueOrder), upstream.issuedNumber, upstream.wanted.address});
    }
    return dueOrders;
}

bool PoolOrders::orderSettled(const std::string &name, std::uint64_t number, OrderOutcome outcome, absl::Time now)
{
    const auto found = this->upstreams.find(name);
    if (found == this->upstreams.end() || !found->second.issued.has_value() || found->second.issuedNumber != number) {
        return false;
    }
    Upstream &upstream = found->second;
    this->fencedOrders.orderSettled(name, this->lastEpoch, outcome, now);
    upstream.failed = outcome != OrderOutcome::Accepted;
    if (outcome == OrderOutcome::Accepted) {
        upstream.confirmed = upstream.issued;
    }
    upstream.issued.reset();
    if (outcome == OrderOutcome::Fenced) {
        this->clearIssuedOrders();
    }
    return true;
}

std::vector<UpstreamOrderStatus> PoolOrders::status() const
{
    std::vector<UpstreamOrderStatus> list;
    for (const auto &[name, upstream] : this->upstreams) {
        UpstreamOrderStatus status{name, OrderState::Waiting, upstream.wanted, upstream.confirmed};
        if (!this->held) {
            status.state = OrderState::Waiting;
        } else if (upstream.issued.has_value()) {
            status.state = OrderState::Issued;
        } else if (upstream.failed) {
            status.state = OrderState::Retrying;
        } else if (!this->fencedOrders.isOpen(name)) {
            status.state = OrderState::Confirmed;
        }
        list.push_back(std::move(status));
    }
    return list;
}

bool PoolOrders::hasOrderInFlight() const
{
    return std::any_of(this->upstreams.begin(), this->upstreams.end(), [](const auto &entry) { return entry.second.issued.has_value(); });
}

} // namespace Bergamotramp
