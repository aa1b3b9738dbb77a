#pragma once

#include <map>
#include <set>
#include <string>

#include <absl/time/time.h>

#include "RunBook.h"
#include "SoakFleet.h"
#include "SoakReport.h"

namespace Bergamotramp {

/** What callers, faults and checks of a soak share. */
struct SoakState {
    SoakReport &report;
    RunBook runs{};
    /** Since when no fault holds; the infinite future while one does. Planned work is no fault. */
    absl::Time calmSince = absl::InfiniteFuture();
    /** Whether new requests and jobs may begin. */
    bool accepting = true;

    /** Requests that were answered as not run. */
    std::set<std::string> refused{};
    /** Requests that may run once only, and those that may run a few times. */
    std::set<std::string> once{};
    std::set<std::string> repeatable{};
    /** When the registry acknowledged that an upstream leaves. */
    std::map<std::string, absl::Time> leaving{};
    /** When the end of a job was acknowledged, by item. */
    std::map<std::string, absl::Time> endedItems{};
    /** When the store acknowledged the configuration that is newest. */
    int configVersion = 1;
    absl::Time configAcknowledged = absl::InfinitePast();

    /** Whether all hosts were in touch for the time that the promises ask for before @p time. */
    [[nodiscard]] bool calmAt(absl::Time time) const
    {
        return time >= this->calmSince + SoakBounds::inTouch;
    }
};

} // namespace Bergamotramp
