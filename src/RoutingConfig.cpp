#include "RoutingConfig.h"

#include <absl/strings/match.h>

namespace Bergamotramp {

bool Route::repeatable() const
{
    return this->kind == RouteKind::Idempotent || (this->kind == RouteKind::Stream && this->resumable);
}

const Route *RoutingConfig::match(std::string_view host, std::string_view path) const
{
    const std::string_view name = host.substr(0, host.find(':'));
    const Route *best = nullptr;
    for (const Route &route : this->routes) {
        const bool sameHost = absl::EqualsIgnoreCase(route.host, absl::string_view(name.data(), name.size()));
        if (sameHost && path.starts_with(route.pathPrefix) && (best == nullptr || route.pathPrefix.size() > best->pathPrefix.size())) {
            best = &route;
        }
    }
    return best;
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
