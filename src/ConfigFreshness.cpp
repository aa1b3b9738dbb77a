#include "ConfigFreshness.h"

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

namespace Bergamotramp {

namespace {

// Shares of the bound. Clocks of hosts drift apart by less than 0.1% (the highest rate at which NTP slews them is 0.05%), so the
// margin covers both ends of the interval and the time from the check to the choice of the route.
constexpr double marginShare = 0.01;
constexpr absl::Duration minMargin = absl::Milliseconds(10);
// View age from which another host is queried.
constexpr double queryShare = 0.16;
// Time between two queries to hosts, and from a query to the next one to the same host if it was helpful or not. Hosts that watch the
// store query it within 0.1 of the bound of each other, so an unhelpful host is worth another query after this time.
constexpr double queryIntervalShare = 0.05;
constexpr double helpfulRepeatShare = 0.06;
constexpr double unhelpfulRepeatShare = 0.1;
// Distances of the hosts that are queried one after the other until one has a newer view. Hosts of the own data centre usually have one
// soon, so they remain every second choice.
constexpr std::array queriedDistances{
    PeerDistance::Near, PeerDistance::Near, PeerDistance::SameRegion, PeerDistance::Near, PeerDistance::OtherRegion, PeerDistance::Near};
// A host without a usable view queries the others sooner, with intervals that double up to the usual one.
constexpr double urgentIntervalShare = 0.01;
// Answers that take longer are of no use and are no longer matched.
constexpr double answerTimeoutShare = 0.5;
// View age from which the store is queried. Of the hosts of a data centre that watch the store, the first one does so, and the second one
// only if it has not learned of a newer view meanwhile. The jitter that is added keeps hosts from querying at the same time.
constexpr double firstWatcherShare = 0.2;
constexpr double secondWatcherShare = 0.36;
constexpr double watcherJitterShare = 0.06;
constexpr double fallbackShare = 0.5;
constexpr double fallbackJitterShare = 0.3;
// A host without any view leaves the others this much time to answer before it queries the store.
constexpr double startStoreShare = 0.1;
// Time from the end of a query of the store to the next one; doubles with each failure.
constexpr double storeIntervalShare = 0.1;
constexpr int maxStoreDoublings = 3;
// Bounds the memory. An operator writes fewer versions than this while a host fetches one.
constexpr std::size_t maxAwaitedRevisions = 8;

} // namespace

ConfigFreshness::ConfigFreshness(absl::Duration bound, std::uint64_t firstNumber, absl::Time startedAt, RandomFraction randomFraction)
    : bound(bound)
    , nextNumber(firstNumber)
    , startedAt(startedAt)
    , randomFraction(std::move(randomFraction))
    , urgentInterval(urgentIntervalShare * bound)
    , storeJitter(this->randomFraction())
{
}

absl::Duration ConfigFreshness::usableAge() const
{
    return this->bound - std::max(minMargin, marginShare * this->bound);
}

absl::Duration ConfigFreshness::retryAfter() const
{
    return queryShare * this->bound;
}

void ConfigFreshness::recordVersion(std::uint64_t revision)
{
    this->inForce = std::max(this->inForce, revision);
    for (const AwaitedRevision &entry : this->awaited) {
        if (entry.revision <= this->inForce) {
            this->advance(entry.viewTime);
        }
    }
    std::erase_if(this->awaited, [this](const AwaitedRevision &entry) { return entry.revision <= this->inForce; });
}

void ConfigFreshness::confirm(absl::Time askedAt, absl::Duration age, std::uint64_t revision)
{
    const absl::Time time = askedAt - std::max(age, absl::ZeroDuration());
    if (revision <= this->inForce) {
        this->advance(time);
        return;
    }
    const auto known = std::ranges::find(this->awaited, revision, &AwaitedRevision::revision);
    if (known != this->awaited.end()) {
        known->viewTime = std::max(known->viewTime, time);
        return;
    }
    this->awaited.push_back({.viewTime = time, .revision = revision});
    if (this->awaited.size() > maxAwaitedRevisions) {
        this->awaited.erase(this->awaited.begin());
    }
}

void ConfigFreshness::confirmByStore(absl::Time askedAt)
{
    this->confirm(askedAt, absl::ZeroDuration(), this->inForce);
}

void ConfigFreshness::advance(absl::Time time)
{
    this->viewTime = std::max(this->viewTime, time);
}

std::uint64_t ConfigFreshness::revision() const
{
    return this->inForce;
}

absl::Duration ConfigFreshness::age(absl::Time now) const
{
    return now - this->viewTime;
}

bool ConfigFreshness::mayServeKeyed(absl::Time now) const
{
    return this->age(now) < this->usableAge();
}

ConfigView ConfigFreshness::view(absl::Time now) const
{
    ConfigView result{.revision = this->inForce, .age = std::nullopt};
    if (this->viewTime != absl::InfinitePast()) {
        result.age = this->age(now);
    }
    return result;
}

bool ConfigFreshness::queryDue(absl::Time now) const
{
    return this->age(now) >= queryShare * this->bound && now >= this->nextQueryAt;
}

absl::Duration ConfigFreshness::takeQueryInterval(absl::Time now)
{
    const absl::Duration usual = queryIntervalShare * this->bound;
    if (this->mayServeKeyed(now)) {
        this->urgentInterval = urgentIntervalShare * this->bound;
        return usual;
    }
    const absl::Duration interval = std::min(usual, this->urgentInterval);
    this->urgentInterval = 2 * interval;
    return interval;
}

std::optional<ConfigViewQuery> ConfigFreshness::nextQuery(const std::vector<ConfigViewHost> &hosts, absl::Time now)
{
    if (!this->queryDue(now)) {
        return std::nullopt;
    }
    this->forgetExpired(now);
    this->nextQueryAt = now + this->takeQueryInterval(now);
    const ConfigViewHost *host = this->selectHost(hosts, now);
    if (host == nullptr) {
        return std::nullopt;
    }
    ++this->unhelpfulQueries;
    this->queryAgainAt[host->name] = now + unhelpfulRepeatShare * this->bound;
    const std::uint64_t number = this->nextNumber++;
    this->pending[number] = {.host = host->name, .askedAt = now};
    return ConfigViewQuery{.number = number, .host = host->name};
}

PeerDistance ConfigFreshness::preferredDistance() const
{
    return queriedDistances.at(this->unhelpfulQueries % queriedDistances.size());
}

const ConfigViewHost *ConfigFreshness::selectHost(const std::vector<ConfigViewHost> &hosts, absl::Time now)
{
    // Other data centres are queried in between, so that a data centre with many hosts and no new view does not delay them.
    const PeerDistance preferred = this->preferredDistance();
    const ConfigViewHost *best = nullptr;
    std::tuple<bool, PeerDistance, bool, double> bestRank;
    for (const ConfigViewHost &host : hosts) {
        const auto again = this->queryAgainAt.find(host.name);
        if (again != this->queryAgainAt.end() && now < again->second) {
            continue;
        }
        const std::tuple<bool, PeerDistance, bool, double> rank{host.distance != preferred, host.distance, !host.watchesStore, this->randomFraction()};
        if (best == nullptr || rank < bestRank) {
            best = &host;
            bestRank = rank;
        }
    }
    return best;
}

void ConfigFreshness::forgetExpired(absl::Time now)
{
    std::erase_if(this->pending, [this, now](const auto &entry) { return now > entry.second.askedAt + answerTimeoutShare * this->bound; });
    std::erase_if(this->queryAgainAt, [now](const auto &entry) { return now >= entry.second; });
}

bool ConfigFreshness::receive(const std::string &host, std::uint64_t number, const ConfigView &view, absl::Time now)
{
    const auto found = this->pending.find(number);
    if (found == this->pending.end() || found->second.host != host) {
        return false;
    }
    const absl::Time askedAt = found->second.askedAt;
    this->pending.erase(found);
    if (view.age) {
        this->confirm(askedAt, *view.age, view.revision);
        if (this->age(now) < queryShare * this->bound) {
            this->unhelpfulQueries = 0;
            this->queryAgainAt[host] = askedAt + helpfulRepeatShare * this->bound;
        }
    }
    return true;
}

absl::Time ConfigFreshness::storeQueryDueAt(std::optional<std::size_t> watcherRank) const
{
    const bool early = watcherRank.has_value() && *watcherRank < earlyWatchers;
    if (this->viewTime == absl::InfinitePast()) {
        const double share = early ? 0.0 : startStoreShare;
        return this->startedAt + (share + fallbackJitterShare * this->storeJitter) * this->bound;
    }
    const double watcherShare = watcherRank == 0U ? firstWatcherShare : secondWatcherShare;
    const double share = early ? watcherShare + watcherJitterShare * this->storeJitter : fallbackShare + fallbackJitterShare * this->storeJitter;
    return this->viewTime + share * this->bound;
}

bool ConfigFreshness::storeQueryDue(std::optional<std::size_t> watcherRank, absl::Time now) const
{
    return !this->storeQueryPending && now >= this->nextStoreQueryAt && now >= this->storeQueryDueAt(watcherRank);
}

void ConfigFreshness::recordStoreQuery(absl::Time now)
{
    this->storeQueryPending = true;
    this->nextStoreQueryAt = now + storeIntervalShare * this->bound;
}

void ConfigFreshness::recordStoreQueryEnd(bool answered, absl::Time now)
{
    this->storeQueryPending = false;
    this->failedStoreQueries = answered ? 0 : std::min(this->failedStoreQueries + 1, maxStoreDoublings);
    this->storeJitter = this->randomFraction();
    const double jitter = answered ? 1.0 : 1.0 + this->storeJitter;
    this->nextStoreQueryAt = now + storeIntervalShare * this->bound * jitter * (1 << this->failedStoreQueries);
}

} // namespace Bergamotramp
