#pragma once

#include <string>
#include <string_view>

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

namespace Bergamotramp {

/** Recent activity, failures and capacity refusals of each upstream, as this host observed them. */
class UpstreamHealth
{
public:
    /** Time for which a failed upstream is avoided, doubled with each further failure up to the maximum. */
    static constexpr absl::Duration initialBackoff = absl::Milliseconds(400);
    static constexpr absl::Duration maxBackoff = absl::Seconds(3);

    /** Bytes of an answer arrived; ends the backoff. */
    void recordActivity(const std::string &upstreamId, absl::Time now);
    /** The upstream could not be reached or stayed silent. Failures during the backoff do not extend it. */
    void recordFailure(const std::string &upstreamId, absl::Time now);
    /** The upstream refused a request because it has no free capacity. */
    void recordFull(const std::string &upstreamId, absl::Time now);
    /** Discards the record of an upstream, which has restarted. */
    void remove(const std::string &upstreamId);

    /** When bytes last arrived from the upstream; infinite past if never. */
    [[nodiscard]] absl::Time lastActivity(std::string_view upstreamId) const;
    /** Whether new requests should go to other upstreams for now. */
    [[nodiscard]] bool inBackoff(std::string_view upstreamId, absl::Time now) const;
    [[nodiscard]] bool recentlyFull(std::string_view upstreamId, absl::Time now) const;

private:
    struct Record {
        absl::Time lastActivity = absl::InfinitePast();
        absl::Time backoffUntil = absl::InfinitePast();
        absl::Duration nextBackoff = initialBackoff;
        absl::Time fullUntil = absl::InfinitePast();
    };

    [[nodiscard]] const Record *find(std::string_view upstreamId) const;

    absl::flat_hash_map<std::string, Record> records;
};

} // namespace Bergamotramp
