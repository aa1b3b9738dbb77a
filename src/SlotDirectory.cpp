#include "SlotDirectory.h"

#include <algorithm>

#include <absl/strings/str_cat.h>

#include "RendezvousHash.h"

namespace Bergamotramp {

std::string SlotDirectory::poolName(const std::string &service, const std::string &region)
{
    return absl::StrCat(service, "/", region);
}

bool SlotDirectory::update(const std::vector<HostInfo> &liveHosts, const std::shared_ptr<const Catalogue> &catalogue)
{
    if (this->live == liveHosts && this->currentCatalogue == catalogue) {
        return false;
    }
    this->live = liveHosts;
    this->currentCatalogue = catalogue;
    for (const HostInfo &host : liveHosts) {
        this->addresses[host.name] = host.peerAddress;
    }
    if (this->addresses.size() > liveHosts.size() + maxFormerHosts) {
        std::erase_if(this->addresses, [this](const auto &item) { return !this->isLive(item.first); });
    }
    return true;
}

std::string SlotDirectory::holderOf(const std::string &service, const std::string &region) const
{
    std::vector<std::string> candidates;
    for (const HostInfo &host : this->live) {
        if (host.region == region) {
            candidates.push_back(host.name);
        }
    }
    // If a region has no live host, a host of another region holds its pools, so that its upstreams stay usable.
    if (candidates.empty()) {
        for (const HostInfo &host : this->live) {
            candidates.push_back(host.name);
        }
    }
    return rendezvousPick(SlotDirectory::poolName(service, region), candidates);
}

std::string SlotDirectory::peerAddress(const std::string &host) const
{
    const auto found = this->addresses.find(host);
    return found == this->addresses.end() ? "" : found->second;
}

bool SlotDirectory::isLive(const std::string &host) const
{
    return std::any_of(this->live.begin(), this->live.end(), [&host](const HostInfo &info) { return info.name == host; });
}

const std::vector<HostInfo> &SlotDirectory::hosts() const
{
    return this->live;
}

const std::shared_ptr<const Catalogue> &SlotDirectory::catalogue() const
{
    return this->currentCatalogue;
}

std::vector<std::string> SlotDirectory::regionsOf(const ServiceSpec &spec, const std::string &preferred)
{
    std::vector<std::string> regions;
    for (const UpstreamSpec &upstream : spec.upstreams) {
        if (!upstream.leaving) {
            regions.push_back(upstream.region);
        }
    }
    std::sort(regions.begin(), regions.end());
    regions.erase(std::unique(regions.begin(), regions.end()), regions.end());
    std::stable_partition(regions.begin(), regions.end(), [&preferred](const std::string &region) { return region == preferred; });
    return regions;
}

} // namespace Bergamotramp
