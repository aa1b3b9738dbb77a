#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include <absl/time/time.h>

namespace Bergamotramp {

/** Where another host of the fleet is. In a small fleet every host counts as near. */
enum class PeerDistance {
    /** In the same data centre. */
    Near,
    SameRegion,
    OtherRegion,
};

/** Distance between two hosts or locations, each with the members dataCentre and region. */
template <typename First, typename Second>
PeerDistance distanceBetween(const First &first, const Second &second)
{
    if (first.dataCentre == second.dataCentre) {
        return PeerDistance::Near;
    }
    return first.region == second.region ? PeerDistance::SameRegion : PeerDistance::OtherRegion;
}

/**
 * Decides when a host announces its state to which other hosts. The rate at which one host sends datagrams does not grow with the
 * fleet: near hosts get each change, the others get complete announcements whose interval grows with the number of hosts.
 */
class AnnouncementSchedule
{
public:
    /** In a fleet of up to this number of other hosts, all of them are near. */
    static constexpr std::size_t maxFullMeshPeers = 12;

    /** An announcement that is due to all hosts at one distance. */
    struct Round {
        PeerDistance distance = PeerDistance::Near;
        /** Whether all loads are announced, or only the changed ones. */
        bool complete = false;
        /** The next complete announcement to these hosts follows within this time. */
        absl::Duration nextWithin;
        /** Counts the complete rounds at this distance. */
        std::uint32_t number = 0;

        bool operator==(const Round &) const = default;
    };

    /** Sets the number of near hosts and of all other hosts of the fleet. */
    void setFleet(std::size_t nearHosts, std::size_t allHosts);
    [[nodiscard]] bool isSmallFleet() const;
    /** Time between calls of takeDue(). */
    [[nodiscard]] absl::Duration tickPeriod() const;
    /** Time between complete announcements to a host at this distance. */
    [[nodiscard]] absl::Duration period(PeerDistance distance) const;
    /**
     * Whether the host at @p position among the receivers gets the sender's identity with this round. Each host gets it with one
     * of several rounds, because names and addresses are most of a datagram and hardly ever change.
     */
    [[nodiscard]] bool sendsIdentity(const Round &round, std::size_t position) const;
    /** The announcements that are due now. If @p urgent, all hosts get them as often as the near ones. */
    std::vector<Round> takeDue(bool loadChanged, bool urgent, absl::Time now);

private:
    struct State {
        absl::Time last = absl::InfinitePast();
        std::uint32_t rounds = 0;
    };

    std::size_t nearHosts = 0;
    std::size_t allHosts = 0;
    std::map<PeerDistance, State> states;
};

} // namespace Bergamotramp
