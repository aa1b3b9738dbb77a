#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <absl/time/time.h>

namespace Bergamotramp {

/** Another entry host, as it announced itself. */
struct Peer {
    std::string name;
    std::string region;
    std::string dataCentre;
    std::string entryAddress;
    std::string controlAddress;
    /** Address for datagrams. */
    std::string peerAddress{};
    /** Grows with every start of the process. */
    std::uint64_t incarnation = 0;
    std::uint32_t sequence = 0;
    bool ready = false;
    bool leaving = false;
    std::uint64_t configRevision = 0;
    /** The newest change of an upstream that the host knows. */
    std::uint64_t upstreamRevision = 0;
    /** The store has left a call of the host unanswered a moment ago. */
    bool storeSilent = false;
    /** Bandwidth of the host's link, Mbit/s; 0 when it is not known. */
    std::uint32_t linkMbps = 0;
    absl::Time lastHeard = absl::InfinitePast();

    bool operator==(const Peer &) const = default;
};

/** The other hosts and whether they live, judged by their announcements alone. */
class PeerBoard
{
public:
    /** Announcements come at least twice a second, so several have been missed after this. */
    static constexpr absl::Duration silenceLimit = absl::Milliseconds(1600);
    /** In a fleet of up to this many other hosts, each tells all others everything. */
    static constexpr std::size_t smallFleet = 12;
    /** A host that has been silent for this long is forgotten. */
    static constexpr absl::Duration forgetAfter = absl::Seconds(60);

    /** Takes an announcement; false when it is older than what is known. */
    bool update(const Peer &peer);
    /** Drops hosts that have been silent for long; returns their datagram addresses. */
    std::vector<std::string> forgetSilent(absl::Time now);
    /** Does not hold a time against the others in which this host itself stood still. */
    void excuse(absl::Duration standstill);

    [[nodiscard]] const Peer *find(std::string_view name) const;
    [[nodiscard]] bool live(std::string_view name, absl::Time now) const;
    /** Live hosts. */
    [[nodiscard]] std::vector<Peer> liveHosts(absl::Time now) const;
    [[nodiscard]] std::vector<Peer> all() const;
    [[nodiscard]] std::size_t size() const;

private:
    std::map<std::string, Peer, std::less<>> peers;
};

/** The host and its place that an address is asked for, or given for. */
struct EntryPoint {
    std::string address;
    std::string region;
    std::string dataCentre;

    bool operator==(const EntryPoint &) const = default;
};

/** Addresses for a caller: those of its data centre if there are several, else of its region, else all. */
std::vector<std::string> entryAddresses(const std::vector<EntryPoint> &ready, std::string_view region, std::string_view dataCentre);

} // namespace Bergamotramp
