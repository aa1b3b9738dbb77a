#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/time/time.h>

#include "PeerTable.h"

namespace Bergamotramp {

/** From where a host gets the changes of the store. */
struct WatchSource {
    enum class Kind {
        /** The host watches the store itself. */
        Store,
        /** It follows a relay. */
        Relay,
        /** No relay is usable; the host waits before it goes to the store. */
        Wait,
    };

    Kind kind = Kind::Store;
    std::optional<Peer> relay{};

    bool operator==(const WatchSource &) const = default;
};

/**
 * Decides whether a host watches the store itself or receives the changes from another host, a relay. In a large fleet a
 * few hosts of each data centre are relays, which watch the store, and the other hosts follow one of them. The number of
 * store calls and the traffic between regions thus grow with the number of data centres instead of hosts.
 *
 * When both relays fail, their followers go to the store one after another instead of all at once. The first one that succeeds
 * announces that it watches the store, and the others follow it.
 */
class WatchRelaySelector
{
public:
    /** Hosts of each data centre that watch the store. One would do; the second one serves when the first is cut off. */
    static constexpr std::size_t relaysPerDataCentre = 2;
    /** How long a relay that does not answer or lags behind is excluded from selection. */
    static constexpr absl::Duration exclusionTime = absl::Seconds(5);
    /** Without a usable relay, each host goes to the store this much later than the host before it. */
    static constexpr absl::Duration storeFallbackInterval = absl::Milliseconds(150);

    /** @p linkMbps is the bandwidth of this host's own network link in Mbit/s. */
    WatchRelaySelector(const PeerTable &peerTable, std::string self, std::string dataCentre, std::uint32_t linkMbps);

    /** Selects the source for the next call. */
    [[nodiscard]] WatchSource select(absl::Time now);
    /** Whether this host is one of the relays of its data centre, or in a small fleet. */
    [[nodiscard]] bool isRelay(absl::Time now) const;
    /** Whether the relay is live and not excluded. */
    [[nodiscard]] bool isUsable(std::string_view relay, absl::Time now) const;
    /** Excludes a relay that failed or lagged behind from selection. */
    void exclude(const std::string &relay, absl::Time until);
    /** Number of hosts of the fleet that watch the store, computed from the hosts and data centres that are known. */
    [[nodiscard]] std::size_t directWatcherCount(absl::Time now) const;

private:
    /** The live hosts of the data centre, those that should be relays first. */
    [[nodiscard]] std::vector<std::string> candidates(absl::Time now) const;
    [[nodiscard]] const Peer *usableRelay(const std::vector<std::string> &candidates, absl::Time now) const;

    const PeerTable &peerTable;
    std::string self;
    std::string dataCentre;
    std::uint32_t linkMbps;
    std::map<std::string, absl::Time, std::less<>> excludedUntil;
    absl::Time withoutRelaySince = absl::InfiniteFuture();
};

} // namespace Bergamotramp
