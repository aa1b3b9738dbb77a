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

PoolOrders::PoolOrders(FencedOrdersSettings settings) : orders(settings)
{
}

void PoolOrders::setTarget(const PoolTarget &newTarget)
{
    this->generation = newTarget.generation;
    for (auto entry = this->upstreams.begin(); entry != this->upstreams.end();) {
        if (newTarget.upstreams.contains(entry->first)) {
            ++entry;
        } else {
            this->orders.forget(entry->first);
            entry = this->upstreams.erase(entry);
        }
    }
    for (const auto &[name, target] : newTarget.upstreams) {
        const auto found = this->upstreams.find(name);
        // A target that returns to what is confirmed is ordered too, since the order in between may have been sent.
        if (found == this->upstreams.end() || found->second.wanted != target) {
            this->order(name, target);
        }
    }
}

void PoolOrders::order(const std::string &name, const OrderTarget &target)
{
    Upstream &upstream = this->upstreams[name];
    upstream.wanted = target;
    upstream.failed = false;
    this->orders.want({name, target.body, target.fencingHonoured});
}

void PoolOrders::leaseHeld(std::uint64_t epoch, absl::Time takenAt, absl::Time heldUntil)
{
    if (epoch != this->lastEpoch) {
        this->dropIssued();
        // Epochs that follow each other under one holder leave no room for orders of another host.
        if (this->lastEpoch == 0 || epoch != this->lastEpoch + 1) {
            this->oldestGeneration.reset();
            this->orderEverything();
        }
        this->lastEpoch = epoch;
    }
    this->held = true;
    this->orders.leaseHeld(epoch, takenAt, heldUntil);
}

void PoolOrders::orderEverything()
{
    for (auto &[name, upstream] : this->upstreams) {
        upstream.confirmed.reset();
        this->order(name, upstream.wanted);
    }
}

void PoolOrders::leaseLost()
{
    this->held = false;
    this->dropIssued();
    this->orders.leaseLost();
}

void PoolOrders::dropIssued()
{
    for (auto &[name, upstream] : this->upstreams) {
        upstream.issued.reset();
    }
}

bool PoolOrders::needsGeneration() const
{
    return this->held && !this->oldestGeneration.has_value();
}

void PoolOrders::publishedGeneration(std::uint64_t epoch, std::uint64_t published)
{
    if (epoch == this->lastEpoch) {
        this->oldestGeneration = published;
    }
}

std::vector<AddressedOrder> PoolOrders::tick(absl::Time now)
{
    std::vector<AddressedOrder> actions;
    if (!this->oldestGeneration.has_value() || this->generation < *this->oldestGeneration) {
        return actions;
    }
    for (IssueOrder &issue : this->orders.tick(now)) {
        Upstream &upstream = this->upstreams.at(issue.order.upstream);
        upstream.issued = upstream.wanted;
        upstream.issuedNumber = ++this->lastNumber;
        actions.push_back({std::move(issue), upstream.issuedNumber, upstream.wanted.address});
    }
    return actions;
}

bool PoolOrders::settled(const std::string &name, std::uint64_t number, OrderOutcome outcome, absl::Time now)
{
    const auto found = this->upstreams.find(name);
    if (found == this->upstreams.end() || !found->second.issued.has_value() || found->second.issuedNumber != number) {
        return false;
    }
    Upstream &upstream = found->second;
    this->orders.settled(name, this->lastEpoch, outcome, now);
    upstream.failed = outcome != OrderOutcome::Done;
    if (outcome == OrderOutcome::Done) {
        upstream.confirmed = upstream.issued;
    }
    upstream.issued.reset();
    if (outcome == OrderOutcome::Fenced) {
        this->dropIssued();
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
        } else if (!this->orders.isOpen(name)) {
            status.state = OrderState::Confirmed;
        }
        list.push_back(std::move(status));
    }
    return list;
}

bool PoolOrders::underWay() const
{
    return std::any_of(this->upstreams.begin(), this->upstreams.end(), [](const auto &entry) { return entry.second.issued.has_value(); });
}

} // namespace Bergamotramp
