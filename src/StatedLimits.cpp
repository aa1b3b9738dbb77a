#include "StatedLimits.h"

#include <utility>

namespace Bergamotramp {

bool StatedLimits::record(const LimitReport &report)
{
    // Nearly all answers come from upstreams without a limit.
    if (!report.requestsPerSecond && !this->entries.contains(report.run)) {
        return false;
    }
    const bool changed = this->merge(report);
    Entry &entry = this->entries[report.run];
    entry.ownObserved = report.observed;
    if (changed) {
        entry.ownChanged = report.observed;
    }
    return changed;
}

bool StatedLimits::merge(const LimitReport &report)
{
    const auto [found, added] = this->entries.try_emplace(report.run);
    LimitReport &latest = found->second.latest;
    if (!added && report.observed < latest.observed) {
        return false;
    }
    const std::optional<double> before = std::exchange(latest, report).requestsPerSecond;
    return before != report.requestsPerSecond;
}

bool StatedLimits::expire(absl::Time now)
{
    return absl::erase_if(this->entries, [now](const auto &entry) { return now > entry.second.latest.observed + lifetime; }) > 0;
}

std::optional<double> StatedLimits::find(std::uint32_t run) const
{
    const auto found = this->entries.find(run);
    return found == this->entries.end() ? std::nullopt : found->second.latest.requestsPerSecond;
}

std::vector<LimitReport> StatedLimits::limited() const
{
    std::vector<LimitReport> result;
    for (const auto &[run, entry] : this->entries) {
        if (entry.latest.requestsPerSecond) {
            result.push_back(entry.latest);
        }
    }
    return result;
}

std::vector<LimitReport> StatedLimits::ownReports(bool recentOnly, absl::Time now) const
{
    std::vector<LimitReport> result;
    for (const auto &[run, entry] : this->entries) {
        const bool own = entry.ownObserved == entry.latest.observed;
        if (own && (!recentOnly || now <= entry.ownChanged + recentChangePeriod)) {
            result.push_back(entry.latest);
        }
    }
    return result;
}

bool StatedLimits::empty() const
{
    return this->entries.empty();
}

} // namespace Bergamotramp
