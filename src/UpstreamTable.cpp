#include "UpstreamTable.h"

#include <set>

namespace Bergamotramp {

void UpstreamTable::put(const UpstreamInfo &upstream)
{
    this->entries[upstream.id] = {.info = upstream, .presence = Presence::Registered, .vanished = absl::InfinitePast()};
}

bool UpstreamTable::mayLapse(absl::Time now) const
{
    return this->lost || now < this->regainedAt + lapseGrace;
}

void UpstreamTable::remove(std::string_view id, absl::Time now)
{
    const auto found = this->entries.find(id);
    if (found == this->entries.end()) {
        return;
    }
    if (found->second.info.leaving) {
        this->entries.erase(found);
    } else if (found->second.presence == Presence::Registered) {
        found->second.presence = this->mayLapse(now) ? Presence::Lapsed : Presence::Removed;
        found->second.vanished = now;
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
    this->lost = true;
}

void UpstreamTable::registryRegained(absl::Time now)
{
    if (this->lost) {
        this->lost = false;
        this->regainedAt = now;
    }
}

void UpstreamTable::expire(absl::Time now)
{
    const bool lapseOver = !this->mayLapse(now);
    std::erase_if(this->entries, [lapseOver, now](const auto &named) {
        const Entry &entry = named.second;
        return (entry.presence == Presence::Lapsed && lapseOver) || (entry.presence == Presence::Removed && now > entry.vanished + lastResortGrace);
    });
}

std::vector<const UpstreamInfo *> UpstreamTable::available(std::string_view service) const
{
    std::vector<const UpstreamInfo *> result;
    std::vector<const UpstreamInfo *> lastResort;
    for (const auto &[id, entry] : this->entries) {
        if (entry.info.service == service && !entry.info.leaving) {
            (entry.presence == Presence::Removed ? lastResort : result).push_back(&entry.info);
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
