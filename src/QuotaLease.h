#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include <absl/time/time.h>

#include "QuotaTerms.h"

namespace Bergamotramp {

/** The tokens of one organisation that a host has in hand, and the demand for which it asks for more ahead of time. */
class QuotaLease
{
public:
    /** Time constant of the estimate of the demand. */
    static constexpr absl::Duration demandPeriod = absl::Milliseconds(500);
    /** Tokens are held for the demand of this time. */
    static constexpr absl::Duration lookAhead = absl::Milliseconds(150);
    /** Tokens are asked for anew this long before they expire. */
    static constexpr absl::Duration renewalLead = absl::Milliseconds(60);
    /** A single token is held if at least this many requests are expected within its lifetime. */
    static constexpr double minExpectedUses = 0.4;

    /** Adds tokens; they may be used before @p expires. */
    void add(std::uint32_t count, absl::Time expires);
    /** Takes the token that expires first, and returns when it would have expired; nothing if there is none. */
    std::optional<absl::Time> take(absl::Time now);
    void recordRequest(absl::Time now);
    /** How many tokens to ask for ahead of requests, beside those in hand. */
    [[nodiscard]] std::uint32_t wantedAhead(const QuotaTerms &terms, absl::Time now) const;
    /** Whether requests are expected for which tokens are held. */
    [[nodiscard]] bool expectsRequests(const QuotaTerms &terms, absl::Time now) const;
    /** Tokens that may be used at @p time if none is used before. */
    [[nodiscard]] std::uint32_t inHand(absl::Time time) const;
    /** Requests per second. */
    [[nodiscard]] double demand(absl::Time now) const;

private:
    struct Tokens {
        std::uint32_t count = 0;
        absl::Time expires;
    };

    std::deque<Tokens> tokens;
    double demandAtLastRequest = 0;
    absl::Time lastRequest = absl::InfinitePast();
};

} // namespace Bergamotramp
