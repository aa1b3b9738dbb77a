#include "FencedOrders.h"

#include <algorithm>
#include <utility>

namespace Bergamotramp {

FencedOrders::FencedOrders(FencedOrdersSettings settings) : settings(settings)
{
}

void FencedOrders::setWanted(const UpstreamOrder &order)
{
    WantedOrder &entry = this->wantedOrders[order.upstream];
    entry.replacedInFlight = entry.inFlight;
    entry.order = order;
    entry.failures = 0;
    entry.notBefore = absl::InfinitePast();
}

void FencedOrders::remove(const std::string &upstream)
{
    this->wantedOrders.erase(upstream);
}

void FencedOrders::leaseHeld(std::uint64_t epoch, absl::Time acquiredAt, absl::Time heldUntil)
{
    // Only a renewal after the refusal shows that the lease is still held.
    if (epoch == this->refusedToken && heldUntil <= this->refusedLeaseEnd) {
        return;
    }
    if (epoch != this->currentToken) {
        // Orders issued under an older epoch are issued again, since their outcome is unknown.
        this->leaseLost();
        this->applyNewToken(epoch);
    }
    this->currentToken = epoch;
    this->leaseAcquired = acquiredAt;
    this->leaseEnd = heldUntil;
}

// An upstream that checks tokens refuses late orders with the former token once it has seen the new one, so they need not expire first.
void FencedOrders::applyNewToken(std::uint64_t epoch)
{
    for (auto &[upstream, entry] : this->wantedOrders) {
        if (epoch != this->lastToken && entry.order.fencingHonoured) {
            entry.expiry = absl::InfinitePast();
        }
    }
    this->lastToken = epoch;
}

void FencedOrders::leaseLost()
{
    for (auto &[upstream, entry] : this->wantedOrders) {
        // An expired lease may be renewed with the same token, which refuses no order in flight. Such an order has to expire first.
        if (entry.inFlight) {
            entry.expiry = std::max(entry.expiry, this->sendDeadline(entry) + this->settings.orderTimeout);
        }
        entry.inFlight = false;
        entry.replacedInFlight = false;
    }
    this->leaseEnd = absl::InfinitePast();
    this->currentToken = 0;
}

// Epoch 1 is the first holder of the lease; there is no former holder whose orders could still arrive.
absl::Time FencedOrders::earliestSend(const WantedOrder &entry) const
{
    const bool mustWait = !entry.order.fencingHonoured && this->currentToken > 1;
    const absl::Time leaseAllowsSend = mustWait ? this->leaseAcquired + this->settings.leaseLength + this->settings.orderTimeout : this->leaseAcquired;
    return std::max({leaseAllowsSend, entry.notBefore, entry.expiry});
}

absl::Time FencedOrders::sendDeadline(const WantedOrder &entry) const
{
    return entry.order.fencingHonoured ? this->leaseEnd : this->leaseEnd - this->settings.orderTimeout;
}

absl::Duration FencedOrders::retryDelay(int failures) const
{
    absl::Duration pause = this->settings.retryPause;
    for (int count = 1; count < failures && pause < this->settings.maxRetryPause; ++count) {
        pause *= 2;
    }
    return std::min(pause, this->settings.maxRetryPause);
}

std::vector<DueOrder> FencedOrders::tick(absl::Time now)
{
    std::vector<DueOrder> dueOrders;
    for (auto &[upstream, entry] : this->wantedOrders) {
        if (!entry.inFlight && now >= this->earliestSend(entry) && now < this->sendDeadline(entry)) {
            entry.inFlight = true;
            entry.replacedInFlight = false;
            dueOrders.push_back({entry.order, this->currentToken, this->sendDeadline(entry)});
        }
    }
    return dueOrders;
}

bool FencedOrders::orderSettled(const std::string &upstream, std::uint64_t issuedToken, OrderOutcome outcome, absl::Time now)
{
    const auto found = this->wantedOrders.find(upstream);
    if (found == this->wantedOrders.end() || issuedToken != this->currentToken || !found->second.inFlight) {
        return false;
    }
    WantedOrder &entry = found->second;
    entry.inFlight = false;
    if (outcome == OrderOutcome::Accepted) {
        if (!std::exchange(entry.replacedInFlight, false)) {
            this->wantedOrders.erase(found);
        }
        return true;
    }
    entry.notBefore = now + this->retryDelay(++entry.failures);
    if (outcome == OrderOutcome::Unanswered) {
        entry.expiry = now + this->settings.orderTimeout;
    } else if (outcome == OrderOutcome::Fenced) {
        this->refusedToken = this->currentToken;
        this->refusedLeaseEnd = this->leaseEnd;
        this->leaseLost();
    }
    return true;
}

std::size_t FencedOrders::openOrders() const
{
    return this->wantedOrders.size();
}

bool FencedOrders::isOpen(const std::string &upstream) const
{
    return this->wantedOrders.contains(upstream);
}

} // namespace Bergamotramp
