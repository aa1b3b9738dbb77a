#pragma once

#include <optional>
#include <string>

namespace Bergamotramp {

/** One organisation of the operator's configuration: the unit of access rights and quotas. */
struct Organisation {
    std::string name;
    /** 0 is the most urgent. Checked and kept; the choice of upstreams does not use priorities yet. */
    std::optional<int> priority{};
    /** Quota of requests per second over all hosts; 0 means no quota. */
    double requestsPerSecond = 0;
    /** Requests that may come at once in addition to the rate, over all hosts. */
    double burst = 0;

    bool operator==(const Organisation &) const = default;
};

/**
 * The organisation that a caller or a job acts for. Nothing when the configuration has no organisations, so that messages stay as they are;
 * an empty name when it has some but the caller or job belongs to none.
 */
using CallerOrganisation = std::optional<std::string>;

} // namespace Bergamotramp
