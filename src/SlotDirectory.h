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

/** Which hosts hold the pools, and how to reach them. Messages name a pool by poolName(). */
class SlotDirectory
{
public:
    /** Hosts whose address is remembered after they left the live set, so that late messages still reach them. */
    static constexpr std::size_t maxFormerHosts = 1024;

    /** Neither part contains a slash. */
    static std::string poolName(const std::string &service, const std::string &region);

    /** Takes new live hosts and catalogue; returns whether anything changed. */
    bool update(const std::vector<HostInfo> &liveHosts, const std::shared_ptr<const Catalogue> &catalogue);
    /** The host that runs the pool; empty while there are no live hosts. */
    [[nodiscard]] std::string holderOf(const std::string &service, const std::string &region) const;
    /** "IP:port", or empty when the host was never seen. */
    [[nodiscard]] std::string peerAddress(const std::string &host) const;
    [[nodiscard]] bool isLive(const std::string &host) const;
    [[nodiscard]] const std::vector<HostInfo> &hosts() const;
    [[nodiscard]] const std::shared_ptr<const Catalogue> &catalogue() const;
    /** Regions with upstreams that take work, @p first first. */
    [[nodiscard]] static std::vector<std::string> regionsOf(const ServiceSpec &spec, const std::string &first);

private:
    std::vector<HostInfo> live;
    std::map<std::string, std::string> addresses;
    std::shared_ptr<const Catalogue> services;
};

} // namespace Bergamotramp
