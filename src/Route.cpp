#include "Route.h"

#include <algorithm>
#include <cstddef>
#include <iterator>

namespace Bergamotramp {

namespace {

/** The targets that have a weight, or all with equal weights if none has one. */
std::vector<RouteTarget> usableTargets(const Route &route)
{
    std::vector<RouteTarget> usable;
    std::ranges::copy_if(route.targets, std::back_inserter(usable), [](const RouteTarget &target) { return target.weight > 0.0; });
    if (!usable.empty()) {
        return usable;
    }
    usable = route.targets;
    for (RouteTarget &target : usable) {
        target.weight = 1.0;
    }
    return usable;
}

/** Index of the target at @p fraction of the sum of the weights. Sets @p fraction to the position within this target, again from 0 to 1. */
std::size_t drawTarget(const std::vector<RouteTarget> &targets, double &fraction)
{
    double total = 0.0;
    for (const RouteTarget &target : targets) {
        total += target.weight;
    }
    double remaining = fraction * total;
    std::size_t index = 0;
    while (index + 1 < targets.size() && remaining >= targets[index].weight) {
        remaining -= targets[index].weight;
        ++index;
    }
    fraction = std::clamp(remaining / targets[index].weight, 0.0, 1.0);
    return index;
}

} // namespace

bool Route::repeatable() const
{
    return this->kind == RouteKind::Idempotent || (this->kind == RouteKind::Stream && this->resumable);
}

std::vector<std::string> targetOrder(const Route &route, double fraction)
{
    std::vector<RouteTarget> left = usableTargets(route);
    std::vector<std::string> order;
    while (!left.empty()) {
        const std::size_t drawn = drawTarget(left, fraction);
        order.push_back(left[drawn].service);
        left.erase(left.begin() + static_cast<std::ptrdiff_t>(drawn));
    }
    return order;
}

const std::string &chooseTarget(const std::vector<std::string> &order, const std::function<bool(const std::string &)> &hasUpstream)
{
    const auto usable = order.size() == 1 ? order.begin() : std::ranges::find_if(order, hasUpstream);
    return usable == order.end() ? order.front() : *usable;
}

} // namespace Bergamotramp
