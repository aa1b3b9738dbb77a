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
    /** Whether the upstream refuses an order whose fencing token is older than one it has seen. */
    bool fencingHonoured = false;

    bool operator==(const UpstreamOrder &) const = default;
};

/** Send the order with the lease epoch as its fencing token, not later than @c sendBefore, and report the outcome. */
struct IssueOrder {
    UpstreamOrder order;
    std::uint64_t token = 0;
    absl::Time sendBefore;

    bool operator==(const IssueOrder &) const = default;
};

enum class OrderOutcome {
    Done,
    /** The upstream has seen a newer token: another host holds the lease. */
    Fenced,
    /** The upstream certainly did not take the order. */
    Failed,
    /** There was no answer; the upstream may still carry the order out. */
    Unanswered,
};

struct FencedOrdersSettings {
    absl::Duration leaseLength = absl::Seconds(10);
    /** After this time an upstream no longer carries out an order that it was sent. Shorter than the lease where upstreams ignore tokens. */
    absl::Duration orderTimeout = absl::Seconds(30);
    /** After the first failure; doubles with each further one up to the longest. */
    absl::Duration retryPause = absl::Seconds(1);
    absl::Duration maxRetryPause = absl::Seconds(30);
};

/**
 * The wanted order of each upstream and when it may be issued. One order per upstream is under way at a time; a newer one replaces an older
 * one that has not been issued. Where an upstream ignores fencing tokens, a new holder of the lease waits until the last possible order of the
 * former holder has expired, and no order is issued that could still be carried out after the lease's end.
 */
class FencedOrders
{
public:
    explicit FencedOrders(FencedOrdersSettings settings);

    void want(const UpstreamOrder &order);
    /** Drops what is wanted of an upstream. */
    void forget(const std::string &upstream);
    /** The lease is held with @p epoch since @p takenAt, until @p heldUntil; called at every renewal. */
    void leaseHeld(std::uint64_t epoch, absl::Time takenAt, absl::Time heldUntil);
    void leaseLost();
    std::vector<IssueOrder> tick(absl::Time now);
    /**
     * Returns false for an order that is no longer under way, which is ignored. After a refused token nothing is issued until the lease is
     * renewed or taken again.
     */
    bool settled(const std::string &upstream, std::uint64_t token, OrderOutcome outcome, absl::Time now);

    /** Orders that are not done yet. */
    [[nodiscard]] std::size_t open() const;
    /** Whether the upstream's order is not done yet. */
    [[nodiscard]] bool isOpen(const std::string &upstream) const;

private:
    struct Wanted {
        UpstreamOrder order;
        bool issued = false;
        bool replaced = false;
        int failures = 0;
        absl::Time notBefore = absl::InfinitePast();
        /** Until then an earlier order without an answer may be carried out. */
        absl::Time expiry = absl::InfinitePast();
    };

    void renewToken(std::uint64_t epoch);
    [[nodiscard]] absl::Time earliest(const Wanted &entry) const;
    [[nodiscard]] absl::Time lastSend(const Wanted &entry) const;
    [[nodiscard]] absl::Duration pauseAfter(int failures) const;

    FencedOrdersSettings settings;
    std::map<std::string, Wanted> wanted;
    std::uint64_t token = 0;
    absl::Time taken = absl::InfinitePast();
    absl::Time validUntil = absl::InfinitePast();
    /** Token of the lease that was held last. */
    std::uint64_t lastToken = 0;
    /** Token that an upstream refused, and the end of the lease at that time. */
    std::uint64_t refusedToken = 0;
    absl::Time refusedUntil = absl::InfinitePast();
};

} // namespace Bergamotramp
