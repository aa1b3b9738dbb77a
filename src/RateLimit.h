#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include <absl/time/time.h>

namespace Bergamotramp {

/**
 * Token bucket per organisation. A host admits out of its own copy and periodically subtracts what the other hosts
 * admitted; between two syncs an organisation can exceed its rate by at most one burst per host.
 */
class RateLimit
{
public:
    /** Organisations tracked at once; the one with the fullest bucket is forgotten first, which only restores its burst. */
    static constexpr std::size_t maxOrganisations = 4096;

    RateLimit(double requestsPerSecond, double burst);

    /** Takes one request out of the bucket; false when it is empty. */
    bool tryAcquire(std::string_view organisation, absl::Time now);
    /** Time until the next request of the organisation is admitted. */
    [[nodiscard]] absl::Duration retryAfter(std::string_view organisation, absl::Time now) const;
    /** Requests admitted here since the last call, by organisation, to be sent to the other hosts. */
    std::map<std::string, std::uint64_t> takeLocalUse();
    /** Takes in requests that another host admitted. */
    void addRemoteUse(std::string_view organisation, std::uint64_t requests, absl::Time now);

private:
    struct Bucket {
        double tokens = 0.0;
        absl::Time refilled;
        std::uint64_t localUse = 0;
    };

    [[nodiscard]] double tokensAt(const Bucket &bucket, absl::Time now) const;
    Bucket &bucketOf(std::string_view organisation, absl::Time now);
    void forgetFullest(absl::Time now);

    double rate;
    double burst;
    std::map<std::string, Bucket, std::less<>> buckets;
};

} // namespace Bergamotramp
