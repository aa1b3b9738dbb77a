#include "RouteTable.h"

#include <algorithm>
#include <functional>
#include <utility>

#include <absl/strings/ascii.h>

namespace Bergamotramp {

namespace {

std::string lowerCase(std::string_view name)
{
    return absl::AsciiStrToLower(absl::string_view(name.data(), name.size()));
}

} // namespace

RouteTable::RouteTable(std::initializer_list<Route> routes)
{
    for (const Route &route : routes) {
        this->add(route);
    }
}

void RouteTable::add(Route route)
{
    HostIndex &host = this->hosts[lowerCase(route.host)];
    const std::size_t length = route.pathPrefix.size();
    if (host.positionByPrefix.emplace(route.pathPrefix, this->routes.size()).second) {
        const auto place = std::ranges::lower_bound(host.prefixLengths, length, std::greater<>());
        if (place == host.prefixLengths.end() || *place != length) {
            host.prefixLengths.insert(place, length);
        }
    }
    this->routes.push_back(std::move(route));
}

const RouteTable::HostIndex *RouteTable::findHost(std::string_view host) const
{
    const auto found = this->hosts.find(lowerCase(host.substr(0, host.find(':'))));
    return found == this->hosts.end() ? nullptr : &found->second;
}

const Route *RouteTable::match(std::string_view host, std::string_view path) const
{
    const HostIndex *index = this->findHost(host);
    if (index == nullptr) {
        return nullptr;
    }
    for (const std::size_t length : index->prefixLengths) {
        if (length > path.size()) {
            continue;
        }
        if (const auto found = index->positionByPrefix.find(absl::string_view(path.data(), length)); found != index->positionByPrefix.end()) {
            return &this->routes[found->second];
        }
    }
    return nullptr;
}

std::size_t RouteTable::lookupsFor(std::string_view host) const
{
    const HostIndex *index = this->findHost(host);
    return index == nullptr ? 0 : index->prefixLengths.size();
}

std::size_t RouteTable::size() const
{
    return this->routes.size();
}

std::vector<Route>::const_iterator RouteTable::begin() const
{
    return this->routes.begin();
}

std::vector<Route>::const_iterator RouteTable::end() const
{
    return this->routes.end();
}

} // namespace Bergamotramp
