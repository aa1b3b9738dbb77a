#include "UpstreamRun.h"

#include "RendezvousHash.h"

namespace Bergamotramp {

std::uint32_t upstreamRunKey(const UpstreamRun &run)
{
    return static_cast<std::uint32_t>(stableHash(stableHash(run.id), std::to_string(run.startedAtMs)));
}

} // namespace Bergamotramp
