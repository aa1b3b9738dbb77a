#include "StartPlan.h"

namespace Bergamotramp {

namespace {

// A starting host has found the others when it has learned of no further one for this long, also from other regions.
constexpr absl::Duration peerDiscoveryWait = absl::Milliseconds(150);
// How long it waits at most, when it has found some hosts and when it has found none.
constexpr absl::Duration maxPeerDiscoveryWait = absl::Milliseconds(1500);
constexpr absl::Duration maxFirstPeerWait = absl::Milliseconds(600);
// Up to this many hosts may list the routing data from the store at the same moment. A list takes some tens of kilobytes, so that together
// they are a few megabytes on the links between regions.
constexpr std::size_t maxHostsListingDirectly = 100;
// Without routing data the jobs are listed after this time: callers read the results of jobs also while the configuration is unreadable.
constexpr absl::Duration maxWaitForRouting = absl::Seconds(3);
constexpr absl::Duration routingExpectedFor = absl::Seconds(1);

} // namespace

StartPlan::StartPlan(absl::Time started, bool hasSeeds) : started(started), hasSeeds(hasSeeds)
{
}

void StartPlan::recordRegisteredHosts(std::size_t hosts, bool includesThisHost)
{
    // On the first start of a fleet only a part of the hosts is registered, so the list doesn't tell how many start.
    this->listsDirectly = includesThisHost && hosts <= maxHostsListingDirectly;
}

// A host that knows the other hosts can list from a relay. If all hosts of a large fleet started and listed from the store, the lists
// would saturate the links. Hosts that start together choose the same relays only once they all know each other.
bool StartPlan::peersFound(const KnownPeers &peers, absl::Time now) const
{
    const absl::Duration maxWait = peers.count > 0 ? maxPeerDiscoveryWait : maxFirstPeerWait;
    const bool complete = peers.count > 0 && now > peers.lastFound + peerDiscoveryWait;
    return !this->hasSeeds || complete || now >= this->started + maxWait;
}

bool StartPlan::mayListRouting(const KnownPeers &peers, absl::Time now) const
{
    return this->listsDirectly || this->peersFound(peers, now);
}

bool StartPlan::mayListJobs(const KnownPeers &peers, bool routingKnown, absl::Time now) const
{
    return this->peersFound(peers, now) && (routingKnown || now >= this->started + maxWaitForRouting);
}

bool StartPlan::routingExpected(bool storeAnswers, absl::Time now) const
{
    return storeAnswers && now < this->started + routingExpectedFor;
}

} // namespace Bergamotramp
