#include "UpstreamTable.h"

#include <set>
#include <utility>

namespace Bergamotramp {

UpstreamRun UpstreamInfo::run() const
{
    return {.id = this->id, .startedAtMs = this->startedAtMs};
}

void UpstreamTable::put(const UpstreamInfo &upstream)
{
    const bool statedLeaving = this->hasStatedLeaving(upstream);
    this->entries[upstream.id] = {.info = upstream, .state = RegistrationState::Registered, .vanishedAt = absl::InfinitePast(), .statedLeaving = statedLeaving};
}

bool UpstreamTable::hasStatedLeaving(const UpstreamInfo &upstream) const
{
    if (upstream.startedAtMs != 0) {
        return this->leavingRuns.contains(upstream.run());
    }
    // Nothing in the registration tells another run from the one that leaves. A registration that was removed and is back counts as
    // another run: an upstream that is kept out wrongly would stay out for ever, one that is let in wrongly states again that it leaves.
    const auto known = this->entries.find(upstream.id);
    return known != this->entries.end() && known->second.statedLeaving && known->second.state != RegistrationState::Removed;
}

bool UpstreamTable::recordStatedLeaving(const UpstreamRun &run)
{
    const bool added = run.startedAtMs != 0 && this->leavingRuns.add(run);
    const auto found = this->entries.find(run.id);
    if (found == this->entries.end()) {
        return added;
    }
    Entry &entry = found->second;
    const bool sameRun = entry.info.startedAtMs == run.startedAtMs || entry.info.startedAtMs == 0;
    return (sameRun && !std::exchange(entry.statedLeaving, true)) || added;
}

bool UpstreamTable::inOutageGrace(absl::Time now) const
{
    return this->registryUnavailable || now < this->regainedAt + reregistrationGrace;
}

void UpstreamTable::remove(std::string_view id, absl::Time now)
{
    const auto found = this->entries.find(id);
    if (found == this->entries.end()) {
        return;
    }
    if (found->second.info.leaving) {
        this->entries.erase(found);
    } else if (found->second.state == RegistrationState::Registered) {
        found->second.state = this->inOutageGrace(now) ? RegistrationState::Lapsed : RegistrationState::Removed;
        found->second.vanishedAt = now;
    }
}

void UpstreamTable::replaceAll(const std::vector<UpstreamInfo> &upstreams, absl::Time now)
{
    std::set<std::string, std::less<>> present;
    for (const UpstreamInfo &upstream : upstreams) {
        present.insert(upstream.id);
        this->put(upstream);
    }
    std::vector<std::string> missing;
    for (const auto &[id, entry] : this->entries) {
        if (!present.contains(id)) {
            missing.push_back(id);
        }
    }
    for (const std::string &id : missing) {
        this->remove(id, now);
    }
}

void UpstreamTable::registryLost(absl::Time now)
{
    this->expire(now);
    this->registryUnavailable = true;
}

void UpstreamTable::registryRegained(absl::Time now)
{
    if (this->registryUnavailable) {
        this->registryUnavailable = false;
        this->regainedAt = now;
    }
}

void UpstreamTable::expire(absl::Time now)
{
    const bool outageGraceOver = !this->inOutageGrace(now);
    std::erase_if(this->entries, [outageGraceOver, now](const auto &named) {
        const Entry &entry = named.second;
        return (entry.state == RegistrationState::Lapsed && outageGraceOver)
               || (entry.state == RegistrationState::Removed && now > entry.vanishedAt + lastResortGrace);
    });
}

std::vector<const UpstreamInfo *> UpstreamTable::available(std::string_view service) const
{
    std::vector<const UpstreamInfo *> result;
    std::vector<const UpstreamInfo *> lastResort;
    for (const auto &[id, entry] : this->entries) {
        // The last resort does not use upstreams that leave either: they may not get requests that callers send later.
        if (entry.info.service == service && !entry.info.leaving && !entry.statedLeaving) {
            (entry.state == RegistrationState::Removed ? lastResort : result).push_back(&entry.info);
        }
    }
    return result.empty() ? lastResort : result;
}

const UpstreamInfo *UpstreamTable::find(std::string_view id) const
{
    const auto found = this->entries.find(id);
    return found == this->entries.end() ? nullptr : &found->second.info;
}

std::vector<UpstreamInfo> UpstreamTable::all() const
{
    std::vector<UpstreamInfo> result;
    for (const auto &[id, entry] : this->entries) {
        result.push_back(entry.info);
    }
    return result;
}

} // namespace Bergamotramp
