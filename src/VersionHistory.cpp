#include "VersionHistory.h"

#include <algorithm>

namespace Bergamotramp {

void VersionHistory::observe(const std::vector<UpstreamInfo> &registered, absl::Time now)
{
    this->observedSince = std::min(this->observedSince, now);
    for (const UpstreamInfo &upstream : registered) {
        this->services[upstream.service][upstream.softwareVersion] = now;
    }
}

void VersionHistory::interrupt()
{
    this->observedSince = absl::InfiniteFuture();
}

std::optional<std::string> VersionHistory::soleVersion(std::string_view service, absl::Duration period, absl::Time now) const
{
    const auto found = this->services.find(service);
    if (found == this->services.end() || now < this->observedSince + period) {
        return std::nullopt;
    }
    std::optional<std::string> sole;
    for (const auto &[version, lastSeen] : found->second) {
        if (now > lastSeen + period) {
            continue;
        }
        if (sole || version.empty()) {
            return std::nullopt;
        }
        sole = version;
    }
    return sole;
}

bool VersionHistory::hasSeveral(std::string_view service, absl::Duration period, absl::Time now) const
{
    const auto found = this->services.find(service);
    const auto isRecent = [now, period](const auto &entry) { return now <= entry.second + period; };
    return found != this->services.end() && std::ranges::count_if(found->second, isRecent) > 1;
}

bool VersionHistory::hasOther(std::string_view service, std::string_view version) const
{
    const auto found = this->services.find(service);
    return found != this->services.end() && std::ranges::any_of(found->second, [version](const auto &entry) { return entry.first != version; });
}

} // namespace Bergamotramp
