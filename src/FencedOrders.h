#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <absl/time/time.h>

namespace Bergamotramp {

/** An order to an upstream, for example to load a model or to change its role. */
struct UpstreamOrder {
    std::string upstream;
    /** JSON text for the upstream. */
    std::string body;
    /** Whether the upstream checks fencing tokens, that is, refuses an order whose token is lower than the highest one it has seen. */
    bool fencingHonoured = false;

    bool operator==(const UpstreamOrder &) const = default;
};

/** An order that the caller has to send before @c sendBefore with @c fencingToken, the epoch of the lease. The caller then reports the outcome. */
struct DueOrder {
    UpstreamOrder order;
    std::uint64_t fencingToken = 0;
    absl::Time sendBefore;

    bool operator==(const DueOrder &) const = default;
};

enum class OrderOutcome {
    Accepted,
    /** The upstream refused the token because it has seen a higher one: another host holds the lease. */
    Fenced,
    /** The upstream certainly did not accept the order. */
    Failed,
    /** There was no response; the upstream may still carry out the order. */
    Unanswered,
};

struct FencedOrdersSettings {
    absl::Duration leaseLength = absl::Seconds(10);
    /** Time after which an upstream no longer carries out an order that was sent to it. Has to be shorter than the lease if upstreams ignore tokens. */
    absl::Duration orderTimeout = absl::Seconds(30);
    /** Delay after the first failure; doubles with each further one up to maxRetryPause. */
    absl::Duration retryPause = absl::Seconds(1);
    absl::Duration maxRetryPause = absl::Seconds(30);
};

/**
 * Schedules the wanted order of each upstream so that no order takes effect after one of a later holder of the lease. At most one order per
 * upstream is in flight; a newer order replaces an older one that has not been issued. If an upstream ignores fencing tokens, a new holder of
 * the lease waits until the last possible order of the former holder has expired, and no order is issued that could still be carried out after
 * the end of the lease.
 */
class FencedOrders
{
public:
    explicit FencedOrders(FencedOrdersSettings settings);

    void setWanted(const UpstreamOrder &order);
    /** Removes the wanted order of an upstream. */
    void remove(const std::string &upstream);
    /** Reports that the lease has been held with @p epoch since @p acquiredAt and is held until @p heldUntil. Called at every renewal. */
    void leaseHeld(std::uint64_t epoch, absl::Time acquiredAt, absl::Time heldUntil);
    void leaseLost();
    /** Returns the orders to send now and marks them as in flight. */
    std::vector<DueOrder> tick(absl::Time now);
    /**
     * Reports the outcome of an order. Returns false and ignores the outcome if the order is no longer in flight. After OrderOutcome::Fenced
     * nothing is issued until the lease is renewed or acquired again.
     */
    bool orderSettled(const std::string &upstream, std::uint64_t token, OrderOutcome outcome, absl::Time now);

    /** Number of wanted orders that are not accepted yet. */
    [[nodiscard]] std::size_t openOrders() const;
    /** Whether the upstream has a wanted order that it has not accepted yet. */
    [[nodiscard]] bool isOpen(const std::string &upstream) const;

private:
    struct WantedOrder {
        UpstreamOrder order;
        bool inFlight = false;
        /** A newer order has replaced the one in flight. */
        bool replacedInFlight = false;
        int failures = 0;
        absl::Time notBefore = absl::InfinitePast();
        /** Until then the upstream may carry out an earlier order whose outcome is unknown. */
        absl::Time expiry = absl::InfinitePast();
    };

    void applyNewToken(std::uint64_t epoch);
    [[nodiscard]] absl::Time earliestSend(const WantedOrder &entry) const;
    [[nodiscard]] absl::Time sendDeadline(const WantedOrder &entry) const;
    [[nodiscard]] absl::Duration retryDelay(int failures) const;

    FencedOrdersSettings settings;
    std::map<std::string, WantedOrder> wantedOrders;
    std::uint64_t currentToken = 0;
    absl::Time leaseAcquired = absl::InfinitePast();
    absl::Time leaseEnd = absl::InfinitePast();
    /** Token of the lease that was held last. */
    std::uint64_t lastToken = 0;
    /** Token that an upstream refused, and the end of the lease at the time of the refusal. */
    std::uint64_t refusedToken = 0;
    absl::Time refusedLeaseEnd = absl::InfinitePast();
};

} // namespace Bergamotramp
