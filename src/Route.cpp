#include "Route.h"

namespace Bergamotramp {

bool Route::repeatable() const
{
    return this->kind == RouteKind::Idempotent || (this->kind == RouteKind::Stream && this->resumable);
}

const std::string &chooseTarget(const Route &route, double fraction)
{
    double total = 0.0;
    for (const RouteTarget &target : route.targets) {
        total += target.weight;
    }
    double remaining = fraction * total;
    for (const RouteTarget &target : route.targets) {
        remaining -= target.weight;
        if (remaining < 0.0) {
            return target.service;
        }
    }
    return route.targets.back().service;
}

} // namespace Bergamotramp
