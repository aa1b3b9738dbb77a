#include "JoinedHostTracker.h"

#include <array>

namespace Bergamotramp {

namespace {

// Delays after the join. A host ignores notices about services until it has a catalogue, which a new host may not have yet.
constexpr std::array<absl::Duration, 3> noticeDelays = {absl::Seconds(2), absl::Seconds(10), absl::Seconds(30)};

} // namespace

void JoinedHostTracker::update(const std::vector<HostInfo> &live, absl::Time now)
{
    std::map<std::string, JoinedHost> current;
    for (const HostInfo &host : live) {
        const auto known = this->hosts.find(host.name);
        const bool sameRun = known != this->hosts.end() && known->second.incarnation == host.incarnation;
        current.emplace(host.name, sameRun ? known->second : JoinedHost{host.incarnation, now});
    }
    this->hosts = std::move(current);
}

std::vector<std::string> JoinedHostTracker::takeDue(absl::Time now)
{
    std::vector<std::string> due;
    for (auto &[name, joined] : this->hosts) {
        if (joined.noticesSent < noticeDelays.size() && now - joined.joinedAt >= noticeDelays.at(joined.noticesSent)) {
            ++joined.noticesSent;
            due.push_back(name);
        }
    }
    return due;
}

} // namespace Bergamotramp
