#include "RetryLimiter.h"

#include <absl/time/clock.h>

namespace Bergamotramp {

RetryLimiter::Budgets &RetryLimiter::budgetsOf(const ServiceSpec &service)
{
    std::unique_ptr<Budgets> &entry = this->services[service.name];
    // A published configuration that changes the limits starts new budgets.
    if (!entry || entry->limits != service.repeat) {
        entry = std::make_unique<Budgets>(Budgets{service.repeat, RetryBudget(service.repeat.retryBudgetShare), HedgePolicy(service.repeat)});
    }
    return *entry;
}

void RetryLimiter::onRequest(const ServiceSpec &service)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    Budgets &budgets = this->budgetsOf(service);
    budgets.retries.onRequest(absl::Now());
    budgets.hedges.onRequest(absl::Now());
}

bool RetryLimiter::takeRetry(const ServiceSpec &service, absl::Time deadline)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->budgetsOf(service).retries.tryRepeat(absl::Now(), deadline);
}

absl::Duration RetryLimiter::hedgeDelay(const ServiceSpec &service)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->budgetsOf(service).hedges.delay().value_or(absl::InfiniteDuration());
}

bool RetryLimiter::takeHedge(const ServiceSpec &service, absl::Duration waited, absl::Time deadline)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->budgetsOf(service).hedges.tryHedge(true, waited, absl::Now(), deadline);
}

absl::Duration RetryLimiter::slowInterval(const ServiceSpec &service)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->budgetsOf(service).hedges.slowInterval().value_or(absl::InfiniteDuration());
}

bool RetryLimiter::takeSlowStreamHedge(const ServiceSpec &service, const StreamProgress &stream, absl::Time deadline)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->budgetsOf(service).hedges.tryHedgeSlowStream(stream, absl::Now(), deadline);
}

void RetryLimiter::recordInterval(const ServiceSpec &service, absl::Duration betweenTokens)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->budgetsOf(service).hedges.recordInterval(betweenTokens);
}

void RetryLimiter::recordFirstToken(const ServiceSpec &service, absl::Duration firstToken)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->budgetsOf(service).hedges.recordFirstToken(firstToken);
}

} // namespace Bergamotramp
