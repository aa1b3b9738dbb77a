#include "Drain.h"

namespace Bergamotramp {

Drain::Drain(DrainSettings settings) : settings(settings)
{
}

// Other hosts list this one in their /v1/entries until they receive the announcement that it is leaving. Callers may therefore arrive until the
// announcement has reached all hosts and the last response that listed this host has expired.
std::vector<DrainAction> Drain::start(absl::Time now)
{
    if (this->current != DrainPhase::Serving) {
        return {};
    }
    this->current = DrainPhase::Unlisted;
    this->unlistedUntil = now + this->settings.announcementDelay + this->settings.entryTimeToLive;
    return {DrainAction::AnnounceLeaving, DrainAction::HandOver};
}

std::vector<DrainAction> Drain::tick(absl::Time now, RemainingWork remaining)
{
    std::vector<DrainAction> actions;
    if (this->current == DrainPhase::Unlisted && now >= this->unlistedUntil) {
        this->current = DrainPhase::Finishing;
        actions.push_back(DrainAction::StopAccepting);
        // Requests accepted just before the stop may not be counted in the remaining work yet.
        return actions;
    }
    if (this->current == DrainPhase::Finishing && remaining == RemainingWork()) {
        this->current = DrainPhase::Finished;
        actions.push_back(DrainAction::Exit);
    }
    return actions;
}

DrainPhase Drain::phase() const
{
    return this->current;
}

} // namespace Bergamotramp
