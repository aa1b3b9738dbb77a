#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include <absl/time/time.h>

#include "PeerTable.h"

namespace Bergamotramp {

/**
 * Decides whether a host watches the store itself or receives the changes from another host, a relay. In a large fleet a
 * few hosts of each data centre are relays, which watch the store, and the other hosts follow one of them. The number of
 * store calls and the traffic between regions thus grow with the number of data centres instead of hosts.
 */
class WatchRelaySelector
{
public:
    /** Hosts of each data centre that watch the store. One would do; the second one serves when the first is cut off. */
    static constexpr std::size_t relaysPerDataCentre = 2;
    /** A relay that failed or lagged behind is not chosen again for this long. */
    static constexpr absl::Duration exclusionTime = absl::Seconds(5);

    /** @p linkMbps is the bandwidth of this host's own network link in Mbit/s. */
    WatchRelaySelector(const PeerTable &peerTable, std::string self, std::string dataCentre, std::uint32_t linkMbps);

    /** The relay to follow; nothing when this host has to watch the store itself. */
    [[nodiscard]] std::optional<Peer> selectRelay(absl::Time now) const;
    /** Whether the relay is live and not excluded. */
    [[nodiscard]] bool isUsable(std::string_view relay, absl::Time now) const;
    /** Excludes a relay that failed or lagged behind from selection for exclusionTime. */
    void exclude(const std::string &relay, absl::Time now);
    /** Number of hosts of the fleet that watch the store, computed from the hosts and data centres that are known. */
    [[nodiscard]] std::size_t directWatcherCount(absl::Time now) const;

private:
    const PeerTable &peerTable;
    std::string self;
    std::string dataCentre;
    std::uint32_t linkMbps;
    std::map<std::string, absl::Time, std::less<>> excludedUntil;
};

} // namespace Bergamotramp
