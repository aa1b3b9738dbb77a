#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

namespace Bergamotramp {

/** Requests in flight at one upstream, by work class. */
struct RequestCounts {
    std::int64_t online = 0;
    std::int64_t batch = 0;

    [[nodiscard]] std::int64_t total() const;
    RequestCounts &operator+=(const RequestCounts &other);
    RequestCounts &operator-=(const RequestCounts &other);
    bool operator==(const RequestCounts &) const = default;
};

/** Requests that one host has in flight at one upstream, which is identified by its upstreamKey(). */
struct UpstreamUse {
    std::uint32_t upstream = 0;
    RequestCounts counts;

    bool operator==(const UpstreamUse &) const = default;
};

/** For hosts that announce their load several times a second. */
constexpr absl::Duration defaultAnnouncementLifetime = absl::Milliseconds(1500);

/** The load of one host, as it announces it to the others. */
struct LoadAnnouncement {
    /** Whether the host has no requests at upstreams that are not listed; otherwise their counts have not changed. */
    bool complete = false;
    std::vector<UpstreamUse> uses;
    /** Batch items that wait for a free slot. */
    std::int64_t batchWaiting = 0;
    /** Whether the host is in the same data centre, or the fleet is small, so that both hosts use the same upstreams. */
    bool sharesUpstreams = true;
    /** How long the counts are used when no newer announcement arrives. */
    absl::Duration lifetime = defaultAnnouncementLifetime;

    bool operator==(const LoadAnnouncement &) const = default;
};

/** A 32-bit hash of the id, which identifies the upstream in announcements; the same on all hosts. */
std::uint32_t upstreamKey(std::string_view upstreamId);

/** Requests in flight at each upstream: the exact counts of this host plus the last announced counts of the other hosts. */
class FleetLoad
{
public:
    void addRequest(const std::string &upstreamId, bool batch);
    void removeRequest(const std::string &upstreamId, bool batch);
    /** Applies the announcement of another host. */
    void applyAnnouncement(const std::string &host, const LoadAnnouncement &announcement, absl::Time now);

    [[nodiscard]] RequestCounts own(std::string_view upstreamId) const;
    [[nodiscard]] RequestCounts total(std::string_view upstreamId, absl::Time now) const;
    /** This host's announcement, with all counts if @p complete, otherwise with those that have changed since the last call. */
    [[nodiscard]] LoadAnnouncement nextAnnouncement(bool complete);
    /** This host's announcement with all counts, for hosts that do not get each change. */
    [[nodiscard]] LoadAnnouncement completeAnnouncement() const;
    /** Drops the counts of announcements whose lifetime is over; called several times a second. */
    void expire(absl::Time now);
    /** Sets the number of batch items that wait for a free slot at this host. */
    void setOwnBatchWaiting(std::int64_t items);
    /** Batch items that wait for a free slot at this host and the hosts that use the same upstreams. */
    [[nodiscard]] std::int64_t sharedBatchWaiting(absl::Time now) const;
    [[nodiscard]] std::int64_t ownBatchWaiting() const;
    /** Whether a count has changed since the last call of nextAnnouncement(). */
    [[nodiscard]] bool hasChanges() const;

private:
    struct HostLoad {
        absl::flat_hash_map<std::uint32_t, RequestCounts> uses;
        std::int64_t batchWaiting = 0;
        bool sharesUpstreams = true;
        absl::Time expiry;
    };

    void removeUses(const HostLoad &host);
    void addToSum(std::uint32_t upstream, const RequestCounts &added, const RequestCounts &removed);
    /** Whether an announcement has expired whose counts are still part of the sums. */
    [[nodiscard]] bool sumsOutdated(absl::Time now) const;

    std::map<std::string, RequestCounts, std::less<>> ownCounts;
    std::map<std::string, HostLoad> others;
    /** Counts of all other hosts by upstream. A choice asks for the load of every upstream, which may not cost a step for each host. */
    absl::flat_hash_map<std::uint32_t, RequestCounts> sums;
    absl::Time nextExpiry = absl::InfiniteFuture();
    std::int64_t batchWaiting = 0;
    std::set<std::string, std::less<>> changedUpstreams;
};

} // namespace Bergamotramp
