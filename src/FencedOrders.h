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
    /** The upstream did not take the order, or did not answer. */
    Failed,
};

struct FencedOrdersSettings {
    absl::Duration leaseLength = absl::Seconds(10);
    /** After this time an upstream no longer carries out an order that it was sent. */
    absl::Duration orderTimeout = absl::Seconds(30);
    absl::Duration retryPause = absl::Seconds(1);
};

/**
 * The wanted order of each upstream and when it may be issued. One order per upstream is under way at a time; a newer one replaces an older
 * one that has not been issued. Where an upstream ignores fencing tokens, a new holder of the lease waits until the last possible order of the
 * former holder has expired.
 */
class FencedOrders
{
public:
    explicit FencedOrders(FencedOrdersSettings settings);

    void want(const UpstreamOrder &order);
    /** The lease is held with @p epoch since @p takenAt, until @p heldUntil; called at every renewal. */
    void leaseHeld(std::uint64_t epoch, absl::Time takenAt, absl::Time heldUntil);
    void leaseLost();
    std::vector<IssueOrder> tick(absl::Time now);
    void settled(const std::string &upstream, std::uint64_t token, OrderOutcome outcome, absl::Time now);

    /** Orders that are not done yet. */
    [[nodiscard]] std::size_t open() const;

private:
    struct Wanted {
        UpstreamOrder order;
        bool issued = false;
        bool replaced = false;
        absl::Time notBefore = absl::InfinitePast();
    };

    [[nodiscard]] absl::Time earliest(const Wanted &wanted) const;

    FencedOrdersSettings settings;
    std::map<std::string, Wanted> wanted;
    std::uint64_t token = 0;
    absl::Time taken = absl::InfinitePast();
    absl::Time validUntil = absl::InfinitePast();
};

} // namespace Bergamotramp
