#pragma once

#include <memory>

#include <absl/time/time.h>
#include <nlohmann/json.hpp>

#include "HostContext.h"

namespace Bergamotramp {

class UpstreamClient;

/** Times of the leases and orders. */
struct OrderSettings {
    absl::Duration leaseLength = absl::Seconds(15);
    absl::Duration renewPeriod = absl::Seconds(5);
    /** Between two looks at another holder's lease. */
    absl::Duration watchPeriod = absl::Seconds(2);
    /** After a call that the store refused or did not answer. */
    absl::Duration storeRetryPause = absl::Seconds(2);
    /** The longest call of an upstream; shorter than the lease less the renewal period. */
    absl::Duration orderTimeout = absl::Seconds(5);
    /** After the first failure of an order; doubles with each further one up to the longest. */
    absl::Duration retryPause = absl::Seconds(1);
    absl::Duration maxRetryPause = absl::Seconds(30);

    bool operator==(const OrderSettings &) const = default;
};

/**
 * Orders the upstreams of model services to load what the catalogue in force says. For each pool that this host is chosen for it takes the
 * lease "lease/orders/POOL"; the lease's epoch is the fencing token of the orders. Thread-safe; no call blocks.
 */
class OrderService
{
public:
    /** @p upstreams outlives the service. */
    OrderService(const HostContext &context, UpstreamClient &upstreams, const OrderSettings &settings = {});
    ~OrderService();
    OrderService(const OrderService &) = delete;
    OrderService &operator=(const OrderService &) = delete;

    /** Leases and orders by the name of the pool, for the pools that this host is chosen for. */
    [[nodiscard]] nlohmann::json status() const;

private:
    class State;

    std::unique_ptr<State> state;
};

} // namespace Bergamotramp
