#pragma once

#include <functional>
#include <map>
#include <string>
#include <utility>

#include "Route.h"
#include "StreamOrigins.h"
#include "UpstreamSelector.h"

namespace Bergamotramp {

/**
 * Where the items of one job can start now. An item belongs to the target of the route that its id selects. It goes to another one if its
 * own has no upstream at all, and if it is urgent also when its own has no free slot. Keeps what it has found, so it is valid only until an
 * item starts.
 */
class ItemPlacement
{
public:
    /** What the host knows of the upstreams of a service. */
    struct Upstreams {
        /** Whether the service has any upstream, free or not. */
        std::function<bool(const std::string &service)> any;
        /** An upstream with a free batch slot, or null. */
        std::function<const UpstreamInfo *(const std::string &service, const UpstreamSelector::VersionFilter &version)> free;
    };

    /** @p mayLeaveTarget tells whether items go to another target when their own has no free slot. @p route must outlive this object. */
    ItemPlacement(const Route &route, bool mayLeaveTarget, Upstreams upstreams);

    /** An upstream for an item without output, or null while it has to wait. */
    [[nodiscard]] const UpstreamInfo *findForNew(const std::string &itemId);
    /** An upstream that can continue an output, or null while there is none. */
    [[nodiscard]] const UpstreamInfo *findForPartial(const StreamOrigin &origin);

private:
    [[nodiscard]] bool hasAny(const std::string &service);
    [[nodiscard]] const UpstreamInfo *findFree(const std::string &service, const UpstreamSelector::VersionFilter &version);

    const Route &route;
    bool mayLeaveTarget;
    Upstreams upstreams;
    std::map<std::string, bool> anyByService;
    std::map<std::pair<std::string, UpstreamSelector::VersionFilter>, const UpstreamInfo *> freeUpstreams;
};

} // namespace Bergamotramp
