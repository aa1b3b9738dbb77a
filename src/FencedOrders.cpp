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
    entry.failures = 0;
    entry.notBefore = absl::InfinitePast();
}

void FencedOrders::forget(const std::string &upstream)
{
    this->wanted.erase(upstream);
}

void FencedOrders::leaseHeld(std::uint64_t epoch, absl::Time takenAt, absl::Time heldUntil)
{
    // Only a renewal after the refusal shows that the lease is still held.
    if (epoch == this->refusedToken && heldUntil <= this->refusedUntil) {
        return;
    }
    if (epoch != this->token) {
        // What was issued under an older epoch is issued again, since its effect isn't known.
        this->leaseLost();
        this->renewToken(epoch);
    }
    this->token = epoch;
    this->taken = takenAt;
    this->validUntil = heldUntil;
}

// A newer token makes an upstream that checks it refuse what may still arrive under the former one.
void FencedOrders::renewToken(std::uint64_t epoch)
{
    for (auto &[upstream, entry] : this->wanted) {
        if (epoch != this->lastToken && entry.order.fencingHonoured) {
            entry.expiry = absl::InfinitePast();
        }
    }
    this->lastToken = epoch;
}

void FencedOrders::leaseLost()
{
    for (auto &[upstream, entry] : this->wanted) {
        // A lease that lapsed may be renewed under the same token, so what is under way has to expire first.
        if (entry.issued) {
            entry.expiry = std::max(entry.expiry, this->lastSend(entry) + this->settings.orderTimeout);
        }
        entry.issued = false;
        entry.replaced = false;
    }
    this->validUntil = absl::InfinitePast();
    this->token = 0;
}

// The first holder ever has epoch 1 and nobody's orders to wait for.
absl::Time FencedOrders::earliest(const Wanted &entry) const
{
    const bool mustWait = !entry.order.fencingHonoured && this->token > 1;
    const absl::Time fenced = mustWait ? this->taken + this->settings.leaseLength + this->settings.orderTimeout : this->taken;
    return std::max({fenced, entry.notBefore, entry.expiry});
}

absl::Time FencedOrders::lastSend(const Wanted &entry) const
{
    return entry.order.fencingHonoured ? this->validUntil : this->validUntil - this->settings.orderTimeout;
}

absl::Duration FencedOrders::pauseAfter(int failures) const
{
    absl::Duration pause = this->settings.retryPause;
    for (int count = 1; count < failures && pause < this->settings.maxRetryPause; ++count) {
        pause *= 2;
    }
    return std::min(pause, this->settings.maxRetryPause);
}

std::vector<IssueOrder> FencedOrders::tick(absl::Time now)
{
    std::vector<IssueOrder> actions;
    for (auto &[upstream, entry] : this->wanted) {
        if (!entry.issued && now >= this->earliest(entry) && now < this->lastSend(entry)) {
            entry.issued = true;
            entry.replaced = false;
            actions.push_back({entry.order, this->token, this->lastSend(entry)});
        }
    }
    return actions;
}

bool FencedOrders::settled(const std::string &upstream, std::uint64_t issuedToken, OrderOutcome outcome, absl::Time now)
{
    const auto found = this->wanted.find(upstream);
    if (found == this->wanted.end() || issuedToken != this->token || !found->second.issued) {
        return false;
    }
    Wanted &entry = found->second;
    entry.issued = false;
    if (outcome == OrderOutcome::Done) {
        if (!std::exchange(entry.replaced, false)) {
            this->wanted.erase(found);
        }
        return true;
    }
    entry.notBefore = now + this->pauseAfter(++entry.failures);
    if (outcome == OrderOutcome::Unanswered) {
        entry.expiry = now + this->settings.orderTimeout;
    } else if (outcome == OrderOutcome::Fenced) {
        this->refusedToken = this->token;
        this->refusedUntil = this->validUntil;
        this->leaseLost();
    }
    return true;
}

std::size_t FencedOrders::open() const
{
    return this->wanted.size();
}

bool FencedOrders::isOpen(const std::string &upstream) const
{
    return this->wanted.contains(upstream);
}

} // namespace Bergamotramp
