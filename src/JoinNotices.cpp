#include "JoinNotices.h"

#include <array>

namespace Bergamotramp {

namespace {

// A host that has just joined may not have a catalogue yet, and then ignores notices about its services.
constexpr std::array<absl::Duration, 3> noticeDelays = {absl::Seconds(2), absl::Seconds(10), absl::Seconds(30)};

} // namespace

void JoinNotices::update(const std::vector<HostInfo> &live, absl::Time now)
{
    std::map<std::string, Joined> current;
    for (const HostInfo &host : live) {
        const auto known = this->hosts.find(host.name);
        const bool same = known != this->hosts.end() && known->second.incarnation == host.incarnation;
        current.emplace(host.name, same ? known->second : Joined{host.incarnation, now});
    }
    this->hosts = std::move(current);
}

std::vector<std::string> JoinNotices::takeDue(absl::Time now)
{
    std::vector<std::string> due;
    for (auto &[name, joined] : this->hosts) {
        if (joined.told < noticeDelays.size() && now - joined.at >= noticeDelays.at(joined.told)) {
            ++joined.told;
            due.push_back(name);
        }
    }
    return due;
}

} // namespace Bergamotramp
