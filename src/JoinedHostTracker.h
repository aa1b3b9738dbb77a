#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <absl/time/time.h>

#include "HostInfo.h"

namespace Bergamotramp {

/** Schedules the notices to hosts that joined recently, which repeat what other hosts announced before the join. */
class JoinedHostTracker
{
public:
    /** Sets the live hosts. A host that was absent or has a new incarnation counts as joined at @p now. */
    void update(const std::vector<HostInfo> &live, absl::Time now);
    /** Returns the hosts to send a notice to now. Each host is returned several times, because a notice can be lost. */
    std::vector<std::string> takeDue(absl::Time now);

private:
    struct JoinedHost {
        std::uint64_t incarnation = 0;
        absl::Time joinedAt;
        std::size_t noticesSent = 0;
    };

    std::map<std::string, JoinedHost> hosts;
};

} // namespace Bergamotramp
