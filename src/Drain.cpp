#include "Drain.h"

namespace Bergamotramp {

Drain::Drain(DrainSettings settings) : settings(settings)
{
}

// Other hosts list this one in their /v1/entries until they hear that it is leaving. The announcement therefore comes first, and
// callers may arrive for the time it takes plus the time to live of the last answer that named this host.
std::vector<DrainAction> Drain::start(absl::Time now)
{
    if (this->current != DrainPhase::Serving) {
        return {};
    }
    this->current = DrainPhase::Unlisted;
    this->unlistedUntil = now + this->settings.announcement + this->settings.entryTimeToLive;
    return {DrainAction::AnnounceLeaving, DrainAction::HandOver};
}

std::vector<DrainAction> Drain::tick(absl::Time now, DrainLoad load)
{
    std::vector<DrainAction> actions;
    if (this->current == DrainPhase::Unlisted && now >= this->unlistedUntil) {
        this->current = DrainPhase::Finishing;
        actions.push_back(DrainAction::StopAccepting);
        // Requests accepted just before the stop may not be in this load yet.
        return actions;
    }
    if (this->current == DrainPhase::Finishing && load == DrainLoad()) {
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
