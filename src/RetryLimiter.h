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
class RetryLimiter
{
public:
    /** Counts the first attempt of a request. */
    void onRequest(const ServiceSpec &service);
    /** Consumes one retry of the budget; returns false when none is left or @p deadline has passed. */
    bool takeRetry(const ServiceSpec &service, absl::Time deadline);
    /** How long a request waits for its first token before a hedge is useful; infinite until enough requests have completed. */
    absl::Duration hedgeDelay(const ServiceSpec &service);
    /** Consumes one hedge of the budget for an idempotent request that has waited @p waited; returns false when it may not be hedged. */
    bool takeHedge(const ServiceSpec &service, absl::Duration waited, absl::Time deadline);
    /** Time per token above which a running stream counts as slow; infinite until enough answers have completed. */
    absl::Duration slowInterval(const ServiceSpec &service);
    /** Consumes one hedge of the budget if a second attempt is likely to complete before a slow stream; returns false otherwise. */
    bool takeSlowStreamHedge(const ServiceSpec &service, const StreamProgress &stream, absl::Time deadline);
    /** Records the time to the first token of an attempt. */
    void recordFirstToken(const ServiceSpec &service, absl::Duration firstToken);
    /** Records the mean time between the tokens of a complete answer. */
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
