#include "AnnouncementSchedule.h"

#include <algorithm>

namespace Bergamotramp {

namespace {

// Changed loads are announced to the near hosts at this interval times their number, but at least minNearPeriod. In a large data
// centre sending and receiving these datagrams is most of what a host does, so their rate is lower there.
constexpr absl::Duration minNearPeriod = absl::Milliseconds(25);
constexpr absl::Duration nearPeriodPerPeer = absl::Milliseconds(2);
constexpr absl::Duration largeNearPeriodPerPeer = absl::Milliseconds(3);
// The complete state is announced this often at least to near hosts, to make up for lost datagrams and to show that this host is alive.
constexpr absl::Duration completePeriod = absl::Milliseconds(500);
// Intervals for the other data centres, times the number of hosts of the fleet. Links between regions have little bandwidth.
constexpr absl::Duration regionPeriodPerPeer = absl::Milliseconds(8);
constexpr absl::Duration otherRegionPeriodPerPeer = absl::Milliseconds(20);
// A host gets the identity with every second complete announcement in a small fleet, and less often in a large one.
constexpr std::size_t minIdentityInterval = 2;
constexpr std::size_t peersPerIdentityInterval = 25;

} // namespace

void AnnouncementSchedule::setFleet(std::size_t near, std::size_t all)
{
    this->nearHosts = near;
    this->allHosts = all;
}

bool AnnouncementSchedule::isSmallFleet() const
{
    return this->allHosts <= maxFullMeshPeers;
}

absl::Duration AnnouncementSchedule::tickPeriod() const
{
    const absl::Duration perPeer = this->nearHosts > maxFullMeshPeers ? largeNearPeriodPerPeer : nearPeriodPerPeer;
    return std::max(minNearPeriod, perPeer * static_cast<std::int64_t>(this->nearHosts));
}

absl::Duration AnnouncementSchedule::period(PeerDistance distance) const
{
    switch (distance) {
    case PeerDistance::SameRegion:
        return std::max(minNearPeriod, regionPeriodPerPeer * static_cast<std::int64_t>(this->allHosts));
    case PeerDistance::OtherRegion:
        return std::max(completePeriod, otherRegionPeriodPerPeer * static_cast<std::int64_t>(this->allHosts));
    case PeerDistance::Near:
        break;
    }
    return completePeriod;
}

bool AnnouncementSchedule::sendsIdentity(const Round &round, std::size_t position) const
{
    const std::size_t interval = std::max(minIdentityInterval, this->allHosts / peersPerIdentityInterval);
    return round.complete && (position + round.number) % interval == 0;
}

std::vector<AnnouncementSchedule::Round> AnnouncementSchedule::takeDue(bool loadChanged, bool urgent, absl::Time now)
{
    std::vector<Round> due;
    std::vector<PeerDistance> distances{PeerDistance::Near};
    if (!this->isSmallFleet()) {
        distances.insert(distances.end(), {PeerDistance::SameRegion, PeerDistance::OtherRegion});
    }
    for (const PeerDistance distance : distances) {
        State &state = this->states[distance];
        const absl::Duration regular = this->period(distance);
        if (now >= state.last + (urgent ? std::min(regular, completePeriod) : regular)) {
            state.last = now;
            due.push_back({.distance = distance, .complete = true, .nextWithin = regular, .number = ++state.rounds});
        } else if (distance == PeerDistance::Near && loadChanged) {
            due.push_back({.distance = distance, .complete = false, .nextWithin = regular, .number = state.rounds});
        }
    }
    return due;
}

} // namespace Bergamotramp
