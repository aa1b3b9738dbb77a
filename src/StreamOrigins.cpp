#include "StreamOrigins.h"

#include "RendezvousHash.h"

namespace Bergamotramp {

bool StreamOrigin::isKnown() const
{
    return !this->service.empty() && !this->softwareVersion.empty();
}

std::uint64_t streamKey(std::string_view requestId)
{
    return stableHash(requestId);
}

void StreamOrigins::add(std::uint64_t stream, const StreamOrigin &origin, absl::Time now)
{
    this->expire(now);
    if (this->entries.try_emplace(stream, Entry{.origin = origin, .added = now}).second) {
        this->oldestFirst.push_back(stream);
    }
}

std::optional<StreamOrigin> StreamOrigins::find(std::uint64_t stream, absl::Time now) const
{
    const auto found = this->entries.find(stream);
    if (found == this->entries.end() || now > found->second.added + retention) {
        return std::nullopt;
    }
    return found->second.origin;
}

std::size_t StreamOrigins::size() const
{
    return this->entries.size();
}

void StreamOrigins::expire(absl::Time now)
{
    while (!this->oldestFirst.empty()) {
        const auto oldest = this->entries.find(this->oldestFirst.front());
        if (this->entries.size() < maxStreams && now <= oldest->second.added + retention) {
            return;
        }
        this->entries.erase(oldest);
        this->oldestFirst.pop_front();
    }
}

} // namespace Bergamotramp
