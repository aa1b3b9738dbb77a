#include "RoutingConfig.h"

namespace Bergamotramp {

const Route *RoutingConfig::match(std::string_view host, std::string_view path) const
{
    return this->routes.match(host, path);
}

} // namespace Bergamotramp
