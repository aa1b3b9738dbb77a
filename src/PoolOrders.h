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

/** What one upstream is to serve. */
struct OrderTarget {
    /** "IP:port". */
    std::string address;
    /** Body of the load order, JSON text. */
    std::string body;
    bool fencingHonoured = false;

    bool operator==(const OrderTarget &) const = default;
};

/** What the upstreams of one pool are to serve at one generation, by the upstream's name. */
struct PoolTarget {
    std::uint64_t generation = 0;
    std::map<std::string, OrderTarget> upstreams;

    bool operator==(const PoolTarget &) const = default;

    /** Leaving upstreams get no order. */
    static PoolTarget of(const ServiceSpec &spec, const std::string &region, std::uint64_t generation);
};

/** An order to send now, and where to. */
struct AddressedOrder {
    IssueOrder issue;
    /** Tells the orders of a pool apart, also those of one upstream under one token. */
    std::uint64_t number = 0;
    std::string address;

    bool operator==(const AddressedOrder &) const = default;
};

/** How far the order of one upstream is. */
enum class OrderState {
    /** Not sent yet: there is no lease, or the former holder's last order may not have expired. */
    Waiting,
    /** Sent, without an answer so far. */
    Issued,
    /** The last attempt failed; it is repeated after a pause. */
    Retrying,
    /** The upstream has taken the order. */
    Confirmed,
};

/** Name for operators. */
const char *orderStateName(OrderState state);

/** The order of one upstream, for operators. */
struct UpstreamOrderStatus {
    std::string upstream;
    OrderState state = OrderState::Waiting;
    OrderTarget wanted;
    /** What the upstream took last from this holder. */
    std::optional<OrderTarget> confirmed;

    bool operator==(const UpstreamOrderStatus &) const = default;
};

/**
 * Orders of one pool: compares what each upstream is to serve with what it has confirmed and gives the next orders while the pool's lease is
 * held. Nothing is ordered from a catalogue older than the one that was published when the lease was taken, so that a new holder which is
 * behind doesn't take back what the former one ordered. Not thread-safe.
 */
class PoolOrders
{
public:
    explicit PoolOrders(FencedOrdersSettings settings);

    void setTarget(const PoolTarget &newTarget);
    /** Called at every renewal of the lease as well. */
    void leaseHeld(std::uint64_t epoch, absl::Time takenAt, absl::Time heldUntil);
    void leaseLost();
    /** Whether the published generation has to be read: the lease was taken and publishedGeneration() not called since. */
    [[nodiscard]] bool needsGeneration() const;
    /** The generation that was in the store at a time after the lease had been taken with @p epoch. */
    void publishedGeneration(std::uint64_t epoch, std::uint64_t generation);
    std::vector<AddressedOrder> tick(absl::Time now);
    /** Returns false for an order that was under way when the lease ended, which is ignored. */
    bool settled(const std::string &upstream, std::uint64_t number, OrderOutcome outcome, absl::Time now);

    [[nodiscard]] std::vector<UpstreamOrderStatus> status() const;
    /** Whether an order has been sent that is not settled yet. */
    [[nodiscard]] bool underWay() const;

private:
    struct Upstream {
        OrderTarget wanted;
        std::optional<OrderTarget> issued;
        std::uint64_t issuedNumber = 0;
        std::optional<OrderTarget> confirmed;
        bool failed = false;
    };

    void order(const std::string &name, const OrderTarget &target);
    void orderEverything();
    void dropIssued();

    FencedOrders orders;
    std::uint64_t generation = 0;
    std::map<std::string, Upstream> upstreams;
    bool held = false;
    std::uint64_t lastEpoch = 0;
    std::uint64_t lastNumber = 0;
    /** Oldest generation that may be ordered under the last epoch. */
    std::optional<std::uint64_t> oldestGeneration;
};

} // namespace Bergamotramp
