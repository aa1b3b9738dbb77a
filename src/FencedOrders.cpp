#include "FencedOrders.h"

#include <algorithm>
#include <utility>

namespace Bergamotramp {

FencedOrders::FencedOrders(FencedOrdersSettings settings) : settings(settings)
{
}

void FencedOrders::want(const UpstreamOrder &order)
{
    Wanted &entry = this->wanted[order.upstream];
    entry.replaced = entry.issued;
    entry.order = order;
    entry.notBefore = absl::InfinitePast();
}

void FencedOrders::leaseHeld(std::uint64_t epoch, absl::Time takenAt, absl::Time heldUntil)
{
    if (epoch != this->token) {
        // What was issued under an older epoch is issued again, since its effect isn't known.
        this->leaseLost();
    }
    this->token = epoch;
    this->taken = takenAt;
    this->validUntil = heldUntil;
}

void FencedOrders::leaseLost()
{
    this->validUntil = absl::InfinitePast();
    this->token = 0;
    for (auto &[upstream, entry] : this->wanted) {
        entry.issued = false;
        entry.replaced = false;
    }
}

// The first holder ever has epoch 1 and nobody's orders to wait for.
absl::Time FencedOrders::earliest(const Wanted &entry) const
{
    const bool mustWait = !entry.order.fencingHonoured && this->token > 1;
    const absl::Time fenced = mustWait ? this->taken + this->settings.leaseLength + this->settings.orderTimeout : this->taken;
    return std::max(fenced, entry.notBefore);
}

std::vector<IssueOrder> FencedOrders::tick(absl::Time now)
{
    std::vector<IssueOrder> actions;
    if (now >= this->validUntil) {
        return actions;
    }
    for (auto &[upstream, entry] : this->wanted) {
        if (!entry.issued && now >= this->earliest(entry)) {
            entry.issued = true;
            actions.push_back({entry.order, this->token, this->validUntil});
        }
    }
    return actions;
}

void FencedOrders::settled(const std::string &upstream, std::uint64_t issuedToken, OrderOutcome outcome, absl::Time now)
{
    const auto found = this->wanted.find(upstream);
    if (found == this->wanted.end() || issuedToken != this->token || !found->second.issued) {
        return;
    }
    Wanted &entry = found->second;
    if (outcome == OrderOutcome::Fenced) {
        this->leaseLost();
        return;
    }
    entry.issued = false;
    if (outcome == OrderOutcome::Failed) {
        entry.notBefore = now + this->settings.retryPause;
    } else if (!std::exchange(entry.replaced, false)) {
        this->wanted.erase(found);
    }
}

std::size_t FencedOrders::open() const
{
    return this->wanted.size();
}

} // namespace Bergamotramp
