#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <set>
#include <string>

namespace Bergamotramp {

/** One run of an upstream's process. */
struct UpstreamRun {
    std::string id;
    /** Start of the process in milliseconds since the epoch; 0 if the registration does not tell it. */
    std::int64_t startedAtMs = 0;

    auto operator<=>(const UpstreamRun &) const = default;
};

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
