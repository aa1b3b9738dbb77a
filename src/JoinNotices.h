#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <absl/time/time.h>

#include "HostInfo.h"

namespace Bergamotramp {

/** Hosts that joined recently and have to be told what the other hosts announced before. */
class JoinNotices
{
public:
    /** Takes the live hosts; one with a new incarnation has joined again. */
    void update(const std::vector<HostInfo> &live, absl::Time now);
    /** Hosts that are to be told now. Each host is returned a few times, because a notice can be lost. */
    std::vector<std::string> takeDue(absl::Time now);

private:
    struct Joined {
        std::uint64_t incarnation = 0;
        absl::Time at;
        std::size_t told = 0;
    };

    std::map<std::string, Joined> hosts;
};

} // namespace Bergamotramp
