#pragma once

#include <cstddef>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "Route.h"

namespace Bergamotramp {

/** Routes with an index by host name and path prefix. Of routes with the same host and prefix, the first one is used. */
class RouteTable
{
public:
    RouteTable() = default;
    RouteTable(std::initializer_list<Route> routes);

    void add(Route route);
    /** The route of @p host, with or without a port, with the longest prefix of @p path, or null. */
    [[nodiscard]] const Route *match(std::string_view host, std::string_view path) const;
    /** Number of lookups that match() takes at most for this host, which does not grow with its routes. For tests of the index. */
    [[nodiscard]] std::size_t lookupsFor(std::string_view host) const;

    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] std::vector<Route>::const_iterator begin() const;
    [[nodiscard]] std::vector<Route>::const_iterator end() const;

    bool operator==(const RouteTable &) const = default;

private:
    struct HostIndex {
        absl::flat_hash_map<std::string, std::size_t> positionByPrefix;
        /** The different lengths of the prefixes, longest first. */
        std::vector<std::size_t> prefixLengths;

        bool operator==(const HostIndex &) const = default;
    };

    [[nodiscard]] const HostIndex *findHost(std::string_view host) const;

    std::vector<Route> routes;
    absl::flat_hash_map<std::string, HostIndex> hosts;
};

} // namespace Bergamotramp
