#pragma once

#include <string>
#include <string_view>

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

namespace Bergamotramp {

/** What this host has seen of each upstream lately. */
class UpstreamHealth
{
public:
    /** An upstream that could not be reached is tried again after this long, doubled up to the maximum. */
    static constexpr absl::Duration firstPause = absl::Milliseconds(400);
    static constexpr absl::Duration maxPause = absl::Seconds(3);

    /** Bytes of an answer arrived. */
    void heard(const std::string &upstreamId, absl::Time now);
    void failed(const std::string &upstreamId, absl::Time now);
    /** The upstream refused a request because it is full. */
    void full(const std::string &upstreamId, absl::Time now);
    void forget(const std::string &upstreamId);

    [[nodiscard]] absl::Time lastHeard(std::string_view upstreamId) const;
    /** Whether new requests go elsewhere for now. */
    [[nodiscard]] bool paused(std::string_view upstreamId, absl::Time now) const;
    [[nodiscard]] bool recentlyFull(std::string_view upstreamId, absl::Time now) const;

private:
    struct Record {
        absl::Time lastHeard = absl::InfinitePast();
        absl::Time pausedUntil = absl::InfinitePast();
        absl::Duration pause = firstPause;
        absl::Time fullUntil = absl::InfinitePast();
    };

    [[nodiscard]] const Record *find(std::string_view upstreamId) const;

    absl::flat_hash_map<std::string, Record> records;
};

} // namespace Bergamotramp
