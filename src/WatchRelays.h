#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include <absl/time/time.h>

#include "PeerBoard.h"

namespace Bergamotramp {

/**
 * Decides from whom a host learns of changes in the store. In a large fleet a few hosts of each data centre watch the store
 * and the others follow them, so that calls to the store and bytes between regions grow with the data centres and not
 * with the hosts.
 */
class WatchRelays
{
public:
    /** Hosts of a data centre that watch the store; one more than needed, for when one is cut off. */
    static constexpr std::size_t relaysPerDataCentre = 2;
    /** A relay that failed or was behind is not followed for this long. */
    static constexpr absl::Duration distrustTime = absl::Seconds(5);

    /** @p linkMbps is the bandwidth of this host's own link. */
    WatchRelays(const PeerBoard &board, std::string self, std::string dataCentre, std::uint32_t linkMbps);

    /** The host to follow, or nothing when this host is to watch the store itself. */
    [[nodiscard]] std::optional<Peer> relay(absl::Time now) const;
    /** Whether a relay that was chosen before can still be followed. */
    [[nodiscard]] bool usable(std::string_view relay, absl::Time now) const;
    void distrust(const std::string &relay, absl::Time now);
    /** Hosts of the fleet that watch the store, by the known hosts and data centres. */
    [[nodiscard]] std::size_t directWatchers(absl::Time now) const;

private:
    const PeerBoard &board;
    std::string self;
    std::string dataCentre;
    std::uint32_t linkMbps;
    std::map<std::string, absl::Time, std::less<>> distrustedUntil;
};

} // namespace Bergamotramp
