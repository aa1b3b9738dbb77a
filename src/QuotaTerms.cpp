#include "QuotaTerms.h"

#include <algorithm>
#include <cmath>

namespace Bergamotramp {

namespace {

// A quarter of the burst covers the tokens that hosts have in hand, and another quarter what two holders of the same share may grant
// until both know of each other. At least half of it is left for the buckets.
constexpr double burstPerLifetime = 4;
constexpr double reservedLifetimes = 2;
// Below this rate a host seldom expects a request within any lifetime, so that it asks for each token when it needs it. Then a short
// lifetime leaves more of the burst.
constexpr double minRateForTokensAhead = 20;
constexpr absl::Duration lifetimeOfSingleTokens = absl::Milliseconds(150);
// A bucket that holds less than this never grants a token.
constexpr double minCapacity = 1;
// Buckets that are full sooner overflow between two queries, and the tokens are lost. If the burst is below three tenths of a second of the
// rate, this exceeds the quota in a window, once, by what is missing.
constexpr absl::Duration minFillTime = absl::Milliseconds(100);
// With less than this, a bucket is full before the hosts ask again, and the tokens that it could have had are lost.
constexpr double minCapacityOfHolder = 2;

} // namespace

QuotaTerms QuotaTerms::of(const Organisation &organisation)
{
    QuotaTerms terms;
    terms.rate = organisation.requestsPerSecond;
    const absl::Duration wanted = absl::Seconds(organisation.burst / (burstPerLifetime * terms.rate));
    const absl::Duration longest = terms.rate < minRateForTokensAhead ? lifetimeOfSingleTokens : maxTokenLifetime;
    terms.tokenLifetime = std::clamp(wanted, minTokenLifetime, longest);
    const double reserved = reservedLifetimes * terms.rate * absl::ToDoubleSeconds(terms.tokenLifetime);
    terms.capacity = std::max({minCapacity, terms.rate * absl::ToDoubleSeconds(minFillTime), organisation.burst - reserved});
    terms.holders = static_cast<std::size_t>(std::clamp(std::floor(terms.capacity / minCapacityOfHolder), 1.0, static_cast<double>(maxHolders)));
    return terms;
}

} // namespace Bergamotramp
