#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>

#include <absl/time/time.h>

#include "SoakFleet.h"
#include "SoakReport.h"
#include "UpstreamRunLog.h"

namespace Bergamotramp {

/** State that the callers, the fault generator and the checks of a soak share. */
struct SoakState {
    SoakReport &report;
    UpstreamRunLog upstreamRuns{};
    /** Since when there is no fault; the infinite future during a fault phase. Maintenance does not count as a fault. */
    absl::Time faultFreeSince = absl::InfiniteFuture();
    /** Whether callers still send new requests and submit new jobs. */
    bool accepting = true;

    /** Requests whose response says that no upstream has run them. */
    std::set<std::string> reportedNotRun{};
    /** Requests that may run only once, and those that may run up to SoakBounds::maxAttempts times. */
    std::set<std::string> singleRunRequests{};
    std::set<std::string> retryableRequests{};
    /** When the store acknowledged that an upstream is draining, by upstream id. */
    std::map<std::string, absl::Time> drainAcknowledgedAt{};
    /** The entry address to which each online request was sent, and when. */
    std::map<std::string, std::pair<std::string, absl::Time>> sentRequests{};
    /** When a host first passed on a response in which an upstream states that it leaves, by the upstream's id and the host's entry address. */
    std::map<std::pair<std::string, std::string>, absl::Time> leavingPassedOnAt{};
    /** What an upstream states as its limit. */
    struct StatedLimit {
        double requestsPerSecond = 0;
        absl::Time from;
        absl::Time until = absl::InfiniteFuture();
        /** The runs of the last SoakBounds::limitWindow. */
        std::deque<absl::Time> runs{};
    };
    /** The limits that upstreams have stated, by the upstream's id. */
    std::map<std::string, StatedLimit> statedLimits{};
    /** When the cancellation of a job was acknowledged, by the ids of its items. */
    std::map<std::string, absl::Time> cancelledItems{};
    /** The newest configuration that the store has acknowledged, and when. */
    int configVersion = 1;
    absl::Time configAcknowledgedAt = absl::InfinitePast();

    /** Whether at @p time the last fault was over for long enough that the guarantees for normal operation apply. */
    [[nodiscard]] bool isSettledAt(absl::Time time) const
    {
        return time >= this->faultFreeSince + SoakBounds::reconnectTime;
    }
};

} // namespace Bergamotramp
