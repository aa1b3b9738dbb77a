#include "RetryBudget.h"

#include <algorithm>

namespace Bergamotramp {

namespace {

// Lets a service with few requests repeat one occasionally.
constexpr double tokensPerSecond = 0.1;

} // namespace

// A new budget is full by default: with 3 tokens of the bucket, a single unresponsive upstream that ran a dozen streams used up the
// budget, and requests failed.
RetryBudget::RetryBudget(double share, double initialTokens) : share(share), tokens(share > 0.0 ? initialTokens : 0.0)
{
}

RetryBudget RetryBudget::overWindow(double share)
{
    RetryBudget budget(share, 0.0);
    budget.window.emplace();
    return budget;
}

void RetryBudget::onRequest(absl::Time now)
{
    if (this->window) {
        this->window->addRequest(now);
        return;
    }
    this->refill(now);
    this->tokens = std::min(maxTokens, this->tokens + this->share);
}

bool RetryBudget::tryRepeat(absl::Time now, absl::Time deadline)
{
    if (this->window) {
        const auto allowed = this->share * static_cast<double>(this->window->requests(now));
        if (now >= deadline || static_cast<double>(this->window->repeats(now) + 1) > allowed) {
            return false;
        }
        this->window->addRepeat(now);
        return true;
    }
    this->refill(now);
    if (now >= deadline || this->tokens < 1.0) {
        return false;
    }
    this->tokens -= 1.0;
    return true;
}

void RetryBudget::recordRepeat(absl::Time now)
{
    if (this->window) {
        this->window->addRepeat(now);
        return;
    }
    this->refill(now);
    this->tokens = std::max(0.0, this->tokens - 1.0);
}

double RetryBudget::balance() const
{
    return this->tokens;
}

void RetryBudget::refill(absl::Time now)
{
    if (this->share > 0.0 && now > this->lastRefill && this->lastRefill != absl::InfinitePast()) {
        this->tokens = std::min(maxTokens, this->tokens + tokensPerSecond * absl::ToDoubleSeconds(now - this->lastRefill));
    }
    this->lastRefill = std::max(this->lastRefill, now);
}

} // namespace Bergamotramp
