#include "ConfigVersions.h"

#include <algorithm>

namespace Bergamotramp {

bool ConfigVersions::needsDecoding(std::uint64_t revision) const
{
    // A host that has started after a rejected version gets the older one, which is in force elsewhere, from another host.
    return revision > this->inForce && !this->rejected.contains(revision);
}

void ConfigVersions::recordInForce(std::uint64_t revision)
{
    this->inForce = std::max(this->inForce, revision);
    this->rejected.erase(this->rejected.begin(), this->rejected.upper_bound(this->inForce));
}

void ConfigVersions::recordRejected(std::uint64_t revision)
{
    this->rejected.insert(revision);
}

std::uint64_t ConfigVersions::newestSeen() const
{
    return this->rejected.empty() ? this->inForce : std::max(this->inForce, *this->rejected.rbegin());
}

} // namespace Bergamotramp
