#include "ItemPlacement.h"

#include <cmath>
#include <utility>

#include "RendezvousHash.h"

namespace Bergamotramp {

namespace {

constexpr int hashBits = 64;

// The id decides, so that every host sends an item to the same target, and small jobs keep the shares as well as large ones.
double shareOf(const std::string &itemId)
{
    return std::ldexp(static_cast<double>(stableHash(itemId)), -hashBits);
}

} // namespace

ItemPlacement::ItemPlacement(const Route &route, bool mayLeaveTarget, Upstreams upstreams)
    : route(route), mayLeaveTarget(mayLeaveTarget), upstreams(std::move(upstreams))
{
}

const UpstreamInfo *ItemPlacement::findForNew(const std::string &itemId)
{
    if (this->route.targets.size() == 1) {
        return this->findFree(this->route.targets.front().service, std::nullopt);
    }
    for (const std::string &service : targetOrder(this->route, shareOf(itemId))) {
        if (!this->hasAny(service)) {
            continue;
        }
        const UpstreamInfo *free = this->findFree(service, std::nullopt);
        if (free != nullptr || !this->mayLeaveTarget) {
            return free;
        }
    }
    return nullptr;
}

const UpstreamInfo *ItemPlacement::findForPartial(const StreamOrigin &origin)
{
    return this->findFree(origin.service, origin.softwareVersion);
}

bool ItemPlacement::hasAny(const std::string &service)
{
    const auto known = this->anyByService.find(service);
    return known != this->anyByService.end() ? known->second : this->anyByService.try_emplace(service, this->upstreams.any(service)).first->second;
}

const UpstreamInfo *ItemPlacement::findFree(const std::string &service, const UpstreamSelector::VersionFilter &version)
{
    const auto key = std::pair(service, version);
    const auto known = this->freeUpstreams.find(key);
    return known != this->freeUpstreams.end() ? known->second : this->freeUpstreams.try_emplace(key, this->upstreams.free(service, version)).first->second;
}

} // namespace Bergamotramp
