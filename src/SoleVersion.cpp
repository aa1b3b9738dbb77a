#include "SoleVersion.h"

#include <algorithm>

namespace Bergamotramp {

std::optional<SoleVersion> combine(const std::vector<SoleVersion> &conclusions)
{
    if (conclusions.empty()) {
        return std::nullopt;
    }
    const SoleVersion &newest = *std::ranges::max_element(conclusions, {}, &SoleVersion::knownUntilRevision);
    const auto contradicts = [&newest](const SoleVersion &other) { return other.version != newest.version; };
    if (newest.knownUntilRevision == 0 || std::ranges::any_of(conclusions, contradicts)) {
        return std::nullopt;
    }
    return newest;
}

} // namespace Bergamotramp
