#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <absl/time/time.h>

#include "ConfigState.h"
#include "HostInfo.h"

namespace Bergamotramp {

/**
 * Maps each pool to its holder, the host that runs its SlotPool, and each host to its peer address. A pool has the
 * upstreams of one service in one region; messages identify it by poolName().
 */
class SlotDirectory
{
public:
    /** Hosts whose address is kept after they left the live set, so that late messages still reach them. */
    static constexpr std::size_t maxFormerHosts = 1024;

    /** "service/region"; neither part contains a slash. */
    static std::string poolName(const std::string &service, const std::string &region);

    /** Replaces the live hosts and the catalogue; returns whether anything changed. */
    bool update(const std::vector<HostInfo> &liveHosts, const std::shared_ptr<const Catalogue> &catalogue);
    /** The host that runs the pool; empty while there are no live hosts. */
    [[nodiscard]] std::string holderOf(const std::string &service, const std::string &region) const;
    /** "IP:port", or empty when the host was never seen. */
    [[nodiscard]] std::string peerAddress(const std::string &host) const;
    [[nodiscard]] bool isLive(const std::string &host) const;
    [[nodiscard]] const std::vector<HostInfo> &hosts() const;
    [[nodiscard]] const std::shared_ptr<const Catalogue> &catalogue() const;
    /** Regions with upstreams that are not leaving, sorted by name but with @p preferred first. */
    [[nodiscard]] static std::vector<std::string> regionsOf(const ServiceSpec &spec, const std::string &preferred);

private:
    std::vector<HostInfo> live;
    std::map<std::string, std::string> addresses;
    std::shared_ptr<const Catalogue> currentCatalogue;
};

} // namespace Bergamotramp
