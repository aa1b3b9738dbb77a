#pragma once

#include <memory>

#include <absl/time/time.h>
#include <nlohmann/json.hpp>

#include "HostContext.h"

namespace Bergamotramp {

class UpstreamClient;

/** Timing of leases and orders. */
struct OrderSettings {
    absl::Duration leaseLength = absl::Seconds(15);
    absl::Duration renewPeriod = absl::Seconds(5);
    /** Between two reads of a lease that another host holds. */
    absl::Duration leaseCheckPeriod = absl::Seconds(2);
    /** Before retrying a call that the store refused or did not answer. */
    absl::Duration storeRetryDelay = absl::Seconds(2);
    /** Limit for the call of an upstream; must be shorter than leaseLength - renewPeriod. */
    absl::Duration orderTimeout = absl::Seconds(5);
    /** Before retrying after the first failure of an order; doubles with each further failure up to maxRetryDelay. */
    absl::Duration initialRetryDelay = absl::Seconds(1);
    absl::Duration maxRetryDelay = absl::Seconds(30);

    bool operator==(const OrderSettings &) const = default;
};

/**
 * Sends load orders to the upstreams of model services: each is told to load what the catalogue in force says. A pool is the upstreams of one
 * service in one region, and one live host is selected for it. That host acquires the lease "lease/orders/POOL" before it sends orders; the
 * lease's epoch is their fencing token. Thread-safe; no call blocks.
 */
class OrderService
{
public:
    /** @p upstreams outlives the service. */
    OrderService(const HostContext &context, UpstreamClient &upstreams, const OrderSettings &settings = {});
    ~OrderService();
    OrderService(const OrderService &) = delete;
    OrderService &operator=(const OrderService &) = delete;

    /** Leases and orders by pool name, for the pools that this host is selected for. */
    [[nodiscard]] nlohmann::json status() const;

private:
    class State;

    std::unique_ptr<State> state;
};

} // namespace Bergamotramp
