#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <absl/time/time.h>

#include "FencedOrders.h"
#include "ServiceSpec.h"

namespace Bergamotramp {

/** What one upstream has to serve. */
struct OrderTarget {
    /** "IP:port". */
    std::string address;
    /** Body of the load order, JSON text. */
    std::string body;
    bool fencingHonoured = false;

    bool operator==(const OrderTarget &) const = default;
};

/** What the upstreams of one pool have to serve according to one generation of the catalogue. */
struct PoolTarget {
    std::uint64_t generation = 0;
    /** By the name of the upstream. */
    std::map<std::string, OrderTarget> upstreams;

    bool operator==(const PoolTarget &) const = default;

    /** The target for the upstreams in @p region; those that are leaving get no order. */
    static PoolTarget of(const ServiceSpec &spec, const std::string &region, std::uint64_t generation);
};

/** An order to send now, with the address of the upstream. */
struct AddressedOrder {
    DueOrder dueOrder;
    /** Unique among the orders of a pool; identifies the order when its outcome is reported. */
    std::uint64_t number = 0;
    std::string address;

    bool operator==(const AddressedOrder &) const = default;
};

/** Progress of the order of one upstream. */
enum class OrderState {
    /** Not sent yet: the lease is not held, the catalogue is outdated, or the former holder's last order may not have expired. */
    Waiting,
    /** Sent; there is no response yet. */
    Issued,
    /** The last attempt failed; the order is sent again after a delay. */
    Retrying,
    /** The upstream has accepted the order. */
    Confirmed,
};

/** Name of the state in the status shown to operators. */
const char *orderStateName(OrderState state);

/** Status of the order of one upstream, shown to operators. */
struct UpstreamOrderStatus {
    std::string upstream;
    OrderState state = OrderState::Waiting;
    OrderTarget wanted;
    /** Target of the last order that the upstream accepted from this holder. */
    std::optional<OrderTarget> confirmed;

    bool operator==(const UpstreamOrderStatus &) const = default;
};

/**
 * Schedules the orders to the upstreams of one pool while the pool's lease is held. An upstream gets an order when its target changes, and
 * after another host may have held the lease. No order is issued from a catalogue older than the one that was published when the lease was
 * acquired, so that a new holder with an outdated catalogue doesn't revert the former holder's orders. Not thread-safe.
 */
class PoolOrders
{
public:
    explicit PoolOrders(FencedOrdersSettings settings);

    void setTarget(const PoolTarget &newTarget);
    /** Reports that the lease is held; called at every renewal as well. */
    void leaseHeld(std::uint64_t epoch, absl::Time acquiredAt, absl::Time heldUntil);
    void leaseLost();
    /** Whether the published generation has to be read: the lease was acquired and setPublishedGeneration() has not been called since. */
    [[nodiscard]] bool needsPublishedGeneration() const;
    /** Sets the generation that was read from the store after the lease had been acquired with @p epoch. */
    void setPublishedGeneration(std::uint64_t epoch, std::uint64_t generation);
    std::vector<AddressedOrder> tick(absl::Time now);
    /**
     * Reports the outcome of an order. Returns false and ignores the outcome if the lease has ended since the order was issued, or if the
     * upstream was removed.
     */
    bool orderSettled(const std::string &upstream, std::uint64_t number, OrderOutcome outcome, absl::Time now);

    [[nodiscard]] std::vector<UpstreamOrderStatus> status() const;
    /** Whether an order has been issued whose outcome has not been reported. */
    [[nodiscard]] bool hasOrderInFlight() const;

private:
    struct Upstream {
        OrderTarget wanted;
        std::optional<OrderTarget> issued;
        std::uint64_t issuedNumber = 0;
        std::optional<OrderTarget> confirmed;
        bool failed = false;
    };

    void setUpstreamTarget(const std::string &name, const OrderTarget &target);
    void orderAllUpstreams();
    void clearIssuedOrders();

    FencedOrders fencedOrders;
    std::uint64_t generation = 0;
    std::map<std::string, Upstream> upstreams;
    bool held = false;
    std::uint64_t lastEpoch = 0;
    std::uint64_t lastOrderNumber = 0;
    /** Published generation that was read after the lease was acquired; orders from an older one are not issued. */
    std::optional<std::uint64_t> minGeneration;
};

} // namespace Bergamotramp
