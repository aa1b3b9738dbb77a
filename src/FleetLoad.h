#pragma once

#include <cstdint>
#include <map>
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
    /** Takes the complete announcement of another host. */
    void announce(const std::string &host, const std::vector<UpstreamUse> &uses, std::int64_t batchWaiting, absl::Time now);
    void forgetHost(const std::string &host);

    [[nodiscard]] ClassCounts own(std::string_view upstreamId) const;
    [[nodiscard]] ClassCounts total(std::string_view upstreamId, absl::Time now) const;
    /** This host's announcement. */
    [[nodiscard]] std::vector<UpstreamUse> announcement() const;
    /** Batch items that wait for room, at this host and at all. */
    void setOwnBatchWaiting(std::int64_t items);
    [[nodiscard]] std::int64_t ownBatchWaiting() const;
    [[nodiscard]] std::int64_t totalBatchWaiting(absl::Time now) const;
    /** Grows whenever a count of this host changes. */
    [[nodiscard]] std::uint64_t changes() const;

private:
    struct Announcement {
        absl::flat_hash_map<std::uint32_t, ClassCounts> uses;
        std::int64_t batchWaiting = 0;
        absl::Time received;
    };

    std::map<std::string, ClassCounts, std::less<>> ownCounts;
    std::map<std::string, Announcement> others;
    std::int64_t batchWaiting = 0;
    std::uint64_t changeCount = 0;
};

} // namespace Bergamotramp
