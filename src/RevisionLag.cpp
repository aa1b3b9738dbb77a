#include "RevisionLag.h"

#include <algorithm>

namespace Bergamotramp {

void RevisionLag::recordAnnounced(std::uint64_t revision)
{
    this->newestRevision = std::max(this->newestRevision, revision);
}

bool RevisionLag::fetchDue(std::uint64_t ownRevision, absl::Time now)
{
    if (ownRevision >= this->newestRevision) {
        this->behindSince = absl::InfiniteFuture();
        this->allowed = maxLag;
        return false;
    }
    this->behindSince = std::min(this->behindSince, now);
    if (now <= this->behindSince + this->allowed) {
        return false;
    }
    this->behindSince = now;
    this->allowed = std::min(maxRetryInterval, this->allowed * 2);
    return true;
}

std::uint64_t RevisionLag::newest() const
{
    return this->newestRevision;
}

} // namespace Bergamotramp
