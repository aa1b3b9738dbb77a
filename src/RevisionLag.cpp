#include "RevisionLag.h"

#include <algorithm>

namespace Bergamotramp {

namespace {

// While a host is cut off, the revisions beyond this number are awaited together.
constexpr std::size_t maxAwaited = 256;

} // namespace

RevisionLag::RevisionLag(absl::Duration allowedLag) : allowedLag(allowedLag), allowed(allowedLag)
{
}

void RevisionLag::recordAnnounced(std::uint64_t revision)
{
    this->newestRevision = std::max(this->newestRevision, revision);
}

bool RevisionLag::fetchDue(std::uint64_t ownRevision, absl::Time now)
{
    this->updateAwaited(ownRevision, now);
    if (this->awaited.empty()) {
        this->lastFetch = absl::InfinitePast();
        this->allowed = this->allowedLag;
        return false;
    }
    if (now <= std::max(this->awaited.front().since, this->lastFetch) + this->allowed) {
        return false;
    }
    this->lastFetch = now;
    this->allowed = std::min(maxRetryInterval, this->allowed * 2);
    return true;
}

// Each revision is awaited by itself. Where changes are frequent, a host never reaches the newest one, although it lags behind none for long.
void RevisionLag::updateAwaited(std::uint64_t ownRevision, absl::Time now)
{
    while (!this->awaited.empty() && this->awaited.front().revision <= ownRevision) {
        this->awaited.pop_front();
    }
    const bool known = this->newestRevision <= ownRevision || (!this->awaited.empty() && this->awaited.back().revision == this->newestRevision);
    if (known) {
        return;
    }
    if (this->awaited.size() < maxAwaited) {
        this->awaited.push_back({.revision = this->newestRevision, .since = now});
    } else {
        this->awaited.back().revision = this->newestRevision;
    }
}

std::uint64_t RevisionLag::newest() const
{
    return this->newestRevision;
}

} // namespace Bergamotramp
