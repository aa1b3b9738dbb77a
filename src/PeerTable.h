#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <absl/time/time.h>

#include "AnnouncementSchedule.h"

namespace Bergamotramp {

/** For hosts that announce themselves twice a second. */
constexpr absl::Duration defaultLivenessTimeout = absl::Milliseconds(1600);

/** Latest announcement of another entry host. */
struct Peer {
    std::string name;
    std::string region;
    std::string dataCentre;
    std::string entryAddress;
    std::string controlAddress;
    /** UDP address for announcements. */
    std::string peerAddress{};
    /** Increases with every start of the process. */
    std::uint64_t incarnation = 0;
    /** Number of the announcement within the incarnation. */
    std::uint32_t sequence = 0;
    bool ready = false;
    bool leaving = false;
    std::uint64_t configRevision = 0;
    /** Store revision of the newest upstream change that the host knows. */
    std::uint64_t upstreamRevision = 0;
    /** Store revision of the newest job header that the host knows. */
    std::uint64_t jobRevision = 0;
    /** A recent store call of the host got no answer. */
    bool storeSilent = false;
    /** Bandwidth of the host's network link in Mbit/s; 0 when it is unknown. */
    std::uint32_t linkMbps = 0;
    /** The host watches the store itself, so that other hosts can follow it. */
    bool watchesStore = false;
    /** The host is not live after this time without an announcement, of which it covers several. */
    absl::Duration livenessTimeout = defaultLivenessTimeout;
    absl::Time lastHeard = absl::InfinitePast();

    bool operator==(const Peer &) const = default;
};

/** The other entry hosts. A host is live when it announced itself recently and is not leaving. */
class PeerTable
{
public:
    /** In a fleet of up to this number of other hosts, each host sends its complete announcements to all others. */
    static constexpr std::size_t maxFullMeshPeers = AnnouncementSchedule::maxFullMeshPeers;
    /** A host without an announcement for this long is removed from the table. */
    static constexpr absl::Duration silentPeerRetention = absl::Seconds(60);

    /** Stores an announcement. Returns false and ignores it when it is not newer than the stored one. */
    bool update(const Peer &peer);
    /** Removes the hosts whose last announcement is older than silentPeerRetention; returns their peer addresses. */
    std::vector<std::string> evictSilent(absl::Time now);
    /** Postpones the timeouts of all hosts by @p pause, the time for which this process was itself suspended. */
    void postponeTimeouts(absl::Duration pause);

    [[nodiscard]] const Peer *find(std::string_view name) const;
    [[nodiscard]] bool isLive(std::string_view name, absl::Time now) const;
    [[nodiscard]] static bool isLive(const Peer &peer, absl::Time now);
    [[nodiscard]] std::vector<Peer> liveHosts(absl::Time now) const;
    /** All known hosts by name, live or not. */
    [[nodiscard]] const std::map<std::string, Peer, std::less<>> &all() const;
    [[nodiscard]] std::size_t size() const;

private:
    std::map<std::string, Peer, std::less<>> peers;
};

/** Address at which a host accepts requests from callers, with the location of the host. */
struct EntryEndpoint {
    std::string address;
    std::string region;
    std::string dataCentre;

    bool operator==(const EntryEndpoint &) const = default;
};

/**
 * Addresses for a caller in the given region and data centre: those in the data centre if there are several, else those in
 * the region if there are several, else all.
 */
std::vector<std::string> selectEntryAddresses(const std::vector<EntryEndpoint> &ready, std::string_view region, std::string_view dataCentre);

} // namespace Bergamotramp
