#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <absl/time/time.h>

namespace Bergamotramp {

/** One upstream as it registered itself. */
struct UpstreamInfo {
    /** Names one run of an upstream; another one may later have its address. */
    std::string id;
    std::string service;
    std::string address;
    std::string dataCentre;
    /** Requests that run at once. */
    std::int64_t slots = 1;
    /** Finishes what it has and takes nothing new. */
    bool leaving = false;
    /** Start of the process, milliseconds since the epoch; tells runs under one id apart. */
    std::int64_t startedAtMs = 0;

    bool operator==(const UpstreamInfo &) const = default;
};

/**
 * The registered upstreams. A registration that vanishes takes effect at once, but registrations also lapse while the
 * registry is unavailable: those that vanish during an outage stay in use until the upstreams had time to register again.
 */
class UpstreamTable
{
public:
    /** Time after the registry's return within which living upstreams register again. */
    static constexpr absl::Duration lapseGrace = absl::Milliseconds(2300);
    /**
     * Time for which an upstream whose registration vanished takes requests if its service has no other one. Upstreams that
     * leave without a notice serve on for longer than this.
     */
    static constexpr absl::Duration lastResortGrace = absl::Seconds(2);

    void put(const UpstreamInfo &upstream);
    void remove(std::string_view id, absl::Time now);
    /** Takes the complete list of registrations. */
    void replaceAll(const std::vector<UpstreamInfo> &upstreams, absl::Time now);
    void registryLost(absl::Time now);
    void registryRegained(absl::Time now);
    /** Drops vanished registrations whose grace has passed. */
    void expire(absl::Time now);

    /** Upstreams of a service that take new requests; those that have vanished a moment ago if there are no others. */
    [[nodiscard]] std::vector<const UpstreamInfo *> available(std::string_view service) const;
    [[nodiscard]] const UpstreamInfo *find(std::string_view id) const;
    [[nodiscard]] std::vector<UpstreamInfo> all() const;

private:
    enum class Presence {
        Registered,
        /** Vanished during an outage of the registry. */
        Lapsed,
        /** Vanished while the registry was there. */
        Removed,
    };
    struct Entry {
        UpstreamInfo info;
        Presence presence = Presence::Registered;
        absl::Time vanished = absl::InfinitePast();
    };

    [[nodiscard]] bool mayLapse(absl::Time now) const;

    std::map<std::string, Entry, std::less<>> entries;
    bool lost = false;
    absl::Time regainedAt = absl::InfinitePast();
};

} // namespace Bergamotramp
