#pragma once

#include <cstddef>

#include <absl/time/time.h>

#include "Organisation.h"

namespace Bergamotramp {

/** How the quota of an organisation is kept: derived from its rate and burst so that all tokens that can be in use stay within both. */
struct QuotaTerms {
    static constexpr std::size_t maxHolders = 4;
    static constexpr absl::Duration minTokenLifetime = absl::Milliseconds(100);
    static constexpr absl::Duration maxTokenLifetime = absl::Milliseconds(500);

    /** Tokens per second over all hosts. */
    double rate = 0;
    /** Capacity of the buckets of all holders together, in tokens. */
    double capacity = 0;
    /** How long after a host has asked for a token the token may be used. */
    absl::Duration tokenLifetime;
    /** Number of hosts among which the quota is divided. */
    std::size_t holders = 1;

    /** Requires an organisation with a quota. */
    static QuotaTerms of(const Organisation &organisation);
    bool operator==(const QuotaTerms &) const = default;
};

} // namespace Bergamotramp
