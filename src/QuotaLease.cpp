#include "QuotaLease.h"

#include <algorithm>
#include <cmath>

namespace Bergamotramp {

void QuotaLease::add(std::uint32_t count, absl::Time expires)
{
    if (count == 0) {
        return;
    }
    const auto later = std::ranges::find_if(this->tokens, [expires](const Tokens &entry) { return entry.expires > expires; });
    this->tokens.insert(later, {.count = count, .expires = expires});
}

std::optional<absl::Time> QuotaLease::take(absl::Time now)
{
    while (!this->tokens.empty() && (this->tokens.front().count == 0 || this->tokens.front().expires <= now)) {
        this->tokens.pop_front();
    }
    if (this->tokens.empty()) {
        return std::nullopt;
    }
    --this->tokens.front().count;
    return this->tokens.front().expires;
}

void QuotaLease::recordRequest(absl::Time now)
{
    this->demandAtLastRequest = this->demand(now) + (1 / absl::ToDoubleSeconds(demandPeriod));
    this->lastRequest = now;
}

double QuotaLease::demand(absl::Time now) const
{
    if (this->lastRequest == absl::InfinitePast()) {
        return 0;
    }
    return this->demandAtLastRequest * std::exp(-absl::FDivDuration(now - this->lastRequest, demandPeriod));
}

bool QuotaLease::expectsRequests(const QuotaTerms &terms, absl::Time now) const
{
    return std::min(this->demand(now), terms.rate) * absl::ToDoubleSeconds(terms.tokenLifetime) >= minExpectedUses;
}

std::uint32_t QuotaLease::wantedAhead(const QuotaTerms &terms, absl::Time now) const
{
    if (!this->expectsRequests(terms, now)) {
        return 0;
    }
    const double expected = std::min(this->demand(now), terms.rate);
    const auto wanted = static_cast<std::uint32_t>(std::ceil(expected * absl::ToDoubleSeconds(std::min(lookAhead, terms.tokenLifetime))));
    return wanted - std::min(wanted, this->inHand(now + renewalLead));
}

std::uint32_t QuotaLease::inHand(absl::Time time) const
{
    std::uint32_t sum = 0;
    for (const Tokens &entry : this->tokens) {
        sum += entry.expires > time ? entry.count : 0;
    }
    return sum;
}

} // namespace Bergamotramp
