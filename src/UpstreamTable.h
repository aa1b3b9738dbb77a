#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <absl/time/time.h>

#include "LeavingRuns.h"

namespace Bergamotramp {

/** One upstream as it registered itself. */
struct UpstreamInfo {
    /** Identifies the upstream; another upstream may get its address later. */
    std::string id;
    std::string service;
    std::string address;
    std::string dataCentre;
    /** Requests that the upstream runs concurrently. */
    std::int64_t slots = 1;
    /** Finishes its requests and takes no new ones. */
    bool leaving = false;
    /** Start of the process in milliseconds since the epoch; differs between runs of an upstream under the same id. */
    std::int64_t startedAtMs = 0;
    /** Version of the software that this run executes; empty if the registration does not tell it. */
    std::string softwareVersion{};

    [[nodiscard]] UpstreamRun run() const;
    bool operator==(const UpstreamInfo &) const = default;
};

/**
 * The registered upstreams. An upstream whose registration vanishes gets no new requests if its service has another one.
 * Registrations also expire while the registry is unavailable. Upstreams whose registration vanishes during such an outage
 * therefore stay in use until they have had time to register again.
 */
class UpstreamTable
{
public:
    /** Time within which running upstreams register again after the registry has become available. */
    static constexpr absl::Duration reregistrationGrace = absl::Milliseconds(2300);
    /**
     * How long an upstream whose registration vanished still takes requests if its service has no other upstream. Upstreams
     * that leave without a notice keep serving for longer than this.
     */
    static constexpr absl::Duration lastResortGrace = absl::Seconds(2);

    void put(const UpstreamInfo &upstream);
    void remove(std::string_view id, absl::Time now);
    /** Replaces the table by the complete list of registrations. */
    void replaceAll(const std::vector<UpstreamInfo> &upstreams, absl::Time now);
    /**
     * Records that a run of an upstream has stated itself that it leaves; returns whether that was not known. The run gets no new
     * requests, whatever its registration says, and neither as a last resort. If its start is not known, that holds until the
     * registration has vanished and the id is registered again.
     */
    bool recordStatedLeaving(const UpstreamRun &run);
    void registryLost(absl::Time now);
    void registryRegained(absl::Time now);
    /** Drops vanished registrations whose grace period has passed. */
    void expire(absl::Time now);

    /** Upstreams of a service that take new requests. If there are none, those whose registration vanished within lastResortGrace. */
    [[nodiscard]] std::vector<const UpstreamInfo *> available(std::string_view service) const;
    [[nodiscard]] const UpstreamInfo *find(std::string_view id) const;
    [[nodiscard]] std::vector<UpstreamInfo> all() const;

private:
    enum class RegistrationState {
        Registered,
        /** Vanished during an outage of the registry. */
        Lapsed,
        /** Vanished while the registry was available. */
        Removed,
    };
    struct Entry {
        UpstreamInfo info;
        RegistrationState state = RegistrationState::Registered;
        absl::Time vanishedAt = absl::InfinitePast();
        /** The run that is registered has stated itself that it leaves. */
        bool statedLeaving = false;
    };

    [[nodiscard]] bool inOutageGrace(absl::Time now) const;
    [[nodiscard]] bool hasStatedLeaving(const UpstreamInfo &upstream) const;

    std::map<std::string, Entry, std::less<>> entries;
    LeavingRuns leavingRuns;
    bool registryUnavailable = false;
    absl::Time regainedAt = absl::InfinitePast();
};

} // namespace Bergamotramp
