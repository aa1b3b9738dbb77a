#pragma once

#include <cstdint>
#include <vector>

#include <absl/time/time.h>

namespace Bergamotramp {

/** Phases of a planned shutdown, in order. */
enum class DrainPhase {
    /** No shutdown has been asked for. */
    Serving,
    /** Out of the entries, leaving; callers may still hold the address and are served. */
    Unlisted,
    /** No new callers; streams in progress and handovers are finished. */
    Finishing,
    /** Nothing is left; the process exits 0. */
    Finished,
};

/** What the host has to do, in the order given. */
enum class DrainAction {
    /** Take this host out of /v1/entries and announce it as leaving, which makes the others do the same. */
    AnnounceLeaving,
    /** Start to hand over shards, segments and pools. */
    HandOver,
    /** Refuse new connections and requests (not run). */
    StopAccepting,
    Exit,
};

/** Timings of a planned shutdown. */
struct DrainSettings {
    /** How long callers keep the answer of /v1/entries. */
    absl::Duration entryTimeToLive = absl::Seconds(15);
    /** Until the other hosts have heard that this one is leaving and stop listing it. */
    absl::Duration announcement = absl::Seconds(3);

    bool operator==(const DrainSettings &) const = default;
};

/** Work that still ties the host down. */
struct DrainLoad {
    std::int64_t requests = 0;
    /** Shards, segments and pools not yet handed over. */
    std::int64_t holdings = 0;

    bool operator==(const DrainLoad &) const = default;
};

/** The phases of a planned shutdown. No phase interrupts a request. */
class Drain
{
public:
    explicit Drain(DrainSettings settings);

    /** Begins the shutdown; has no effect a second time. */
    std::vector<DrainAction> start(absl::Time now);
    /** Advances as far as time and load allow; to be called periodically. */
    std::vector<DrainAction> tick(absl::Time now, DrainLoad load);

    [[nodiscard]] DrainPhase phase() const;

private:
    DrainSettings settings;
    DrainPhase current = DrainPhase::Serving;
    absl::Time unlistedUntil;
};

} // namespace Bergamotramp
