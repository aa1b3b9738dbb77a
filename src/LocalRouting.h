#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Bergamotramp {

/** How a host selects upstreams of model services. All but Pool use only local information and serve as baselines in benchmarks. */
enum class RoutingMode {
    /** The pool's holder grants slots of upstreams (see SlotPool). */
    Pool,
    Random,
    RoundRobin,
    LeastInFlight,
    /** The one of two random upstreams that has fewer requests in flight. */
    TwoChoices,
};

/** The requests that this host has in flight at an upstream. */
struct LocalLoad {
    std::string upstream;
    std::int64_t inFlight = 0;

    bool operator==(const LocalLoad &) const = default;
};

/** Selects an upstream by what this host has sent to it, without knowledge of the requests of other hosts. */
class LocalRouting
{
public:
    LocalRouting(RoutingMode mode, std::uint64_t seed);

    /** Index of the selected upstream; nothing when the list is empty. */
    std::optional<std::size_t> choose(const std::vector<LocalLoad> &upstreams);

private:
    std::size_t leastInFlight(const std::vector<LocalLoad> &upstreams) const;
    std::size_t betterOfTwo(const std::vector<LocalLoad> &upstreams);
    std::size_t randomIndex(std::size_t count);

    RoutingMode mode;
    std::mt19937_64 random;
    std::size_t nextIndex = 0;
};

} // namespace Bergamotramp
