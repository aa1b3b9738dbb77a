#pragma once

#include <cstddef>
#include <deque>
#include <set>

#include "UpstreamRun.h"

namespace Bergamotramp {

/** The runs of upstreams, with known starts, that have stated themselves that they leave. Keeps the newest maxRuns of them. */
class LeavingRuns
{
public:
    static constexpr std::size_t maxRuns = 4096;

    /** Returns whether the run was not known to leave. */
    bool add(const UpstreamRun &run);
    [[nodiscard]] bool contains(const UpstreamRun &run) const;

private:
    std::set<UpstreamRun> runs;
    /** The same runs in the order in which they were added. */
    std::deque<UpstreamRun> oldestFirst;
};

} // namespace Bergamotramp
