#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Bergamotramp {

/** How a host chooses upstreams of model services. All but Pool use only what this host sees; they are baselines for measurements. */
enum class RoutingMode {
    /** Slots granted by the pool's holder. */
    Pool,
    Random,
    RoundRobin,
    LeastInFlight,
    /** The one with less in flight of two random upstreams. */
    TwoChoices,
};

/** An upstream as this host sees it. */
struct LocalLoad {
    std::string upstream;
    std::int64_t inFlight = 0;

    bool operator==(const LocalLoad &) const = default;
};

/** Chooses an upstream from what one host sees, without knowledge of the other hosts. */
class LocalRouting
{
public:
    LocalRouting(RoutingMode mode, std::uint64_t seed);

    /** Index of the chosen upstream; nothing when there is none. */
    std::optional<std::size_t> choose(const std::vector<LocalLoad> &upstreams);

private:
    std::size_t leastInFlight(const std::vector<LocalLoad> &upstreams) const;
    std::size_t betterOfTwo(const std::vector<LocalLoad> &upstreams);
    std::size_t randomIndex(std::size_t count);

    RoutingMode mode;
    std::mt19937_64 random;
    std::size_t next = 0;
};

} // namespace Bergamotramp
