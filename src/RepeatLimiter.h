#pragma once

#include <memory>
#include <mutex>
#include <string>

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include "HedgePolicy.h"
#include "RetryBudget.h"
#include "ServiceSpec.h"

namespace Bergamotramp {

/** The retry and hedge budgets of all services on one host. Thread-safe. */
class RepeatLimiter
{
public:
    /** Counts the first attempt of a request. */
    void onRequest(const ServiceSpec &service);
    /** Takes one retry from the budget; false when there is none or @p deadline has passed. */
    bool takeRetry(const ServiceSpec &service, absl::Time deadline);
    /** Wait for a first token after which a hedge helps; infinite when none is known. */
    absl::Duration hedgeDelay(const ServiceSpec &service);
    /** Takes one hedge from the budget for an idempotent request that has waited @p waited. */
    bool takeHedge(const ServiceSpec &service, absl::Duration waited, absl::Time deadline);
    /** Time per token from which a running stream counts as slow; infinite when none is known. */
    absl::Duration slowInterval(const ServiceSpec &service);
    /** Takes one hedge from the budget when a second attempt is likely to overtake a slow stream. */
    bool takeOvertake(const ServiceSpec &service, const StreamProgress &stream, absl::Time deadline);
    /** Takes in the time to first token of an attempt. */
    void recordFirstToken(const ServiceSpec &service, absl::Duration firstToken);
    /** Takes in the mean time between tokens of a whole answer. */
    void recordInterval(const ServiceSpec &service, absl::Duration betweenTokens);

private:
    struct Budgets {
        RepeatLimits limits;
        RetryBudget retries;
        HedgePolicy hedges;
    };

    /** The mutex must be held. */
    Budgets &budgetsOf(const ServiceSpec &service);

    std::mutex mutex;
    absl::flat_hash_map<std::string, std::unique_ptr<Budgets>> services;
};

} // namespace Bergamotramp
