#include "LocalRouting.h"

#include <algorithm>

namespace Bergamotramp {

LocalRouting::LocalRouting(RoutingMode mode, std::uint64_t seed) : mode(mode), random(seed)
{
}

std::optional<std::size_t> LocalRouting::choose(const std::vector<LocalLoad> &upstreams)
{
    if (upstreams.empty()) {
        return std::nullopt;
    }
    switch (this->mode) {
    case RoutingMode::RoundRobin:
        return this->nextIndex++ % upstreams.size();
    case RoutingMode::LeastInFlight:
        return this->leastInFlight(upstreams);
    case RoutingMode::TwoChoices:
        return this->betterOfTwo(upstreams);
    case RoutingMode::Random:
    case RoutingMode::Pool:
        break;
    }
    return this->randomIndex(upstreams.size());
}

std::size_t LocalRouting::leastInFlight(const std::vector<LocalLoad> &upstreams) const
{
    const auto least =
        std::min_element(upstreams.begin(), upstreams.end(), [](const LocalLoad &left, const LocalLoad &right) { return left.inFlight < right.inFlight; });
    return static_cast<std::size_t>(least - upstreams.begin());
}

std::size_t LocalRouting::betterOfTwo(const std::vector<LocalLoad> &upstreams)
{
    const std::size_t first = this->randomIndex(upstreams.size());
    if (upstreams.size() == 1) {
        return first;
    }
    // The second index is selected from the others, so that two different upstreams are compared.
    const std::size_t second = (first + 1 + this->randomIndex(upstreams.size() - 1)) % upstreams.size();
    return upstreams[second].inFlight < upstreams[first].inFlight ? second : first;
}

std::size_t LocalRouting::randomIndex(std::size_t count)
{
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(this->random);
}

} // namespace Bergamotramp
