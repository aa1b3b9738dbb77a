#pragma once

#include <cstdint>
#include <vector>

#include <absl/time/time.h>

namespace Bergamotramp {

/** Phases of a planned shutdown, in order. */
enum class DrainPhase {
    /** No shutdown has been requested. */
    Serving,
    /** The host is no longer listed in /v1/entries. Callers that still have its address are served. */
    Unlisted,
    /** New callers are refused; streams in progress and handovers are finished. */
    Finishing,
    /** No work is left; the process exits with status 0. */
    Finished,
};

/** Action that the host has to perform; actions are returned in the order of their execution. */
enum class DrainAction {
    /** Remove this host from /v1/entries and announce that it is leaving, so that the other hosts remove it too. */
    AnnounceLeaving,
    /** Start to hand over work to other hosts. The Host class drains its batch service here, but its journal only at Exit. */
    HandOver,
    /** Refuse new connections and requests; refused requests are not run. */
    StopAccepting,
    Exit,
};

/** Timings of a planned shutdown. */
struct DrainSettings {
    /** How long callers may use a response of /v1/entries. */
    absl::Duration entryTimeToLive = absl::Seconds(15);
    /** Time until all other hosts have received the announcement and no longer list this host. */
    absl::Duration announcementDelay = absl::Seconds(3);

    bool operator==(const DrainSettings &) const = default;
};

/** Work that has to finish before the host may exit. */
struct RemainingWork {
    std::int64_t requests = 0;
    /** Number of journal shards, batch segments and pools not yet handed over. The Host class always passes 0. */
    std::int64_t pendingHandovers = 0;

    bool operator==(const RemainingWork &) const = default;
};

/** State machine of a planned shutdown. No phase interrupts a request. */
class Drain
{
public:
    explicit Drain(DrainSettings settings);

    /** Begins the shutdown; further calls have no effect. */
    std::vector<DrainAction> start(absl::Time now);
    /** Enters the next phase when time and remaining work allow it; called periodically. */
    std::vector<DrainAction> tick(absl::Time now, RemainingWork remaining);

    [[nodiscard]] DrainPhase phase() const;

private:
    DrainSettings settings;
    DrainPhase current = DrainPhase::Serving;
    absl::Time unlistedUntil;
};

} // namespace Bergamotramp
