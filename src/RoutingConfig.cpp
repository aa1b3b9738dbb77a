#include "RoutingConfig.h"

namespace Bergamotramp {

const Route *RoutingConfig::match(std::string_view host, std::string_view path) const
{
    return this->routes.match(host, path);
}

bool RoutingConfig::operator==(const RoutingConfig &other) const
{
    const bool bothHave = this->organisations && other.organisations;
    const bool sameOrganisations = bothHave ? *this->organisations == *other.organisations : this->organisations == other.organisations;
    return this->revision == other.revision && this->version == other.version && this->routes == other.routes && this->callerBounds == other.callerBounds
           && sameOrganisations;
}

} // namespace Bergamotramp
