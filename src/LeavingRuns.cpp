#include "LeavingRuns.h"

namespace Bergamotramp {

// A run that leaves ends within minutes, but a relay or a list may show its registration later. Runs are therefore kept until maxRuns
// others have left; with the 820 upstreams of the size to design for, that is four restarts of all of them.
bool LeavingRuns::add(const UpstreamRun &run)
{
    if (!this->runs.insert(run).second) {
        return false;
    }
    this->oldestFirst.push_back(run);
    if (this->oldestFirst.size() > maxRuns) {
        this->runs.erase(this->oldestFirst.front());
        this->oldestFirst.pop_front();
    }
    return true;
}

bool LeavingRuns::contains(const UpstreamRun &run) const
{
    return this->runs.contains(run);
}

} // namespace Bergamotramp
