#include "RepeatLimiter.h"

#include <absl/time/clock.h>

namespace Bergamotramp {

RepeatLimiter::Budgets &RepeatLimiter::budgetsOf(const ServiceSpec &service)
{
    std::unique_ptr<Budgets> &entry = this->services[service.name];
    // A published configuration that changes the limits starts new budgets.
    if (!entry || entry->limits != service.repeat) {
        entry = std::make_unique<Budgets>(Budgets{service.repeat, RetryBudget(service.repeat.retryBudgetShare), HedgePolicy(service.repeat)});
    }
    return *entry;
}

void RepeatLimiter::onRequest(const ServiceSpec &service)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    Budgets &budgets = this->budgetsOf(service);
    budgets.retries.onRequest(absl::Now());
    budgets.hedges.onRequest(absl::Now());
}

bool RepeatLimiter::takeRetry(const ServiceSpec &service, absl::Time deadline)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->budgetsOf(service).retries.tryRepeat(absl::Now(), deadline);
}

absl::Duration RepeatLimiter::hedgeDelay(const ServiceSpec &service)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->budgetsOf(service).hedges.delay().value_or(absl::InfiniteDuration());
}

bool RepeatLimiter::takeHedge(const ServiceSpec &service, absl::Duration waited, absl::Time deadline)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->budgetsOf(service).hedges.tryHedge(true, waited, absl::Now(), deadline);
}

absl::Duration RepeatLimiter::slowInterval(const ServiceSpec &service)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->budgetsOf(service).hedges.slowInterval().value_or(absl::InfiniteDuration());
}

bool RepeatLimiter::takeSlowStreamHedge(const ServiceSpec &service, const StreamProgress &stream, absl::Time deadline)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->budgetsOf(service).hedges.tryOvertake(stream, absl::Now(), deadline);
}

void RepeatLimiter::recordInterval(const ServiceSpec &service, absl::Duration betweenTokens)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->budgetsOf(service).hedges.recordInterval(betweenTokens);
}

void RepeatLimiter::recordFirstToken(const ServiceSpec &service, absl::Duration firstToken)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->budgetsOf(service).hedges.record(firstToken);
}

} // namespace Bergamotramp
