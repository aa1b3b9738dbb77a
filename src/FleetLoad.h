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

/** Requests at one upstream, by class. */
struct ClassCounts {
    std::int64_t online = 0;
    std::int64_t batch = 0;

    [[nodiscard]] std::int64_t total() const;
    bool operator==(const ClassCounts &) const = default;
};

/** What one host has at one upstream; the upstream is given by upstreamKey(). */
struct UpstreamUse {
    std::uint32_t upstream = 0;
    ClassCounts counts;

    bool operator==(const UpstreamUse &) const = default;
};

/** What one host tells of its load. */
struct LoadAnnouncement {
    /** Whether upstreams that are not named have nothing from the host. */
    bool complete = false;
    std::vector<UpstreamUse> uses;
    /** Batch items that wait for room. */
    std::int64_t batchWaiting = 0;
    /** Whether the host competes with this one for the same upstreams. */
    bool near = true;

    bool operator==(const LoadAnnouncement &) const = default;
};

/** A short name of an upstream that is the same on all hosts. */
std::uint32_t upstreamKey(std::string_view upstreamId);

/** Requests of the whole fleet at each upstream: this host's exactly, those of the other hosts as last announced. */
class FleetLoad
{
public:
    /** An announcement counts no longer than this; hosts announce several times a second. */
    static constexpr absl::Duration announcementLifetime = absl::Milliseconds(1500);

    void add(const std::string &upstreamId, bool batch);
    void remove(const std::string &upstreamId, bool batch);
    /** Takes the announcement of another host. */
    void announce(const std::string &host, const LoadAnnouncement &announcement, absl::Time now);

    [[nodiscard]] ClassCounts own(std::string_view upstreamId) const;
    [[nodiscard]] ClassCounts total(std::string_view upstreamId, absl::Time now) const;
    /** This host's announcement with all counts, or with those that have changed since the last call. */
    [[nodiscard]] LoadAnnouncement takeAnnouncement(bool complete);
    /** Batch items that wait for room, at this host and at it and the near ones together. */
    void setOwnBatchWaiting(std::int64_t items);
    [[nodiscard]] std::int64_t nearBatchWaiting(absl::Time now) const;
    [[nodiscard]] std::int64_t ownBatchWaiting() const;
    /** Whether a count has changed since the last announcement. */
    [[nodiscard]] bool changed() const;

private:
    struct HostLoad {
        absl::flat_hash_map<std::uint32_t, ClassCounts> uses;
        std::int64_t batchWaiting = 0;
        bool near = true;
        absl::Time received;
    };

    std::map<std::string, ClassCounts, std::less<>> ownCounts;
    std::map<std::string, HostLoad> others;
    std::int64_t batchWaiting = 0;
    std::set<std::string, std::less<>> changedUpstreams;
};

} // namespace Bergamotramp
