#include "UpstreamLimiter.h"

#include <algorithm>
#include <utility>

#include "UpstreamRun.h"

namespace Bergamotramp {

UpstreamLimiter::UpstreamLimiter(LimitMember self, const UpstreamTable &upstreams, const PeerTable &peers, absl::Time startedAt)
    : self(std::move(self)), upstreams(upstreams), peers(peers), shares(this->self.name, startedAt)
{
}

bool UpstreamLimiter::recordStatement(const UpstreamInfo &upstream, std::optional<double> requestsPerSecond, absl::Time now)
{
    const bool changed = this->limits.record({.run = upstreamRunKey(upstream.run()), .requestsPerSecond = requestsPerSecond, .observed = now});
    this->limitsChanged = this->limitsChanged || changed;
    return changed;
}

void UpstreamLimiter::merge(const LimitReport &report)
{
    this->limitsChanged = this->limits.merge(report) || this->limitsChanged;
}

void UpstreamLimiter::tick(absl::Time now)
{
    if (this->limits.empty()) {
        return;
    }
    const bool checkMembers = now >= this->membershipCheckedAt + membershipCheckPeriod;
    if (checkMembers) {
        this->membershipCheckedAt = now;
        this->limitsChanged = this->limits.expire(now) || this->limitsChanged;
    }
    if (this->limitsChanged || (checkMembers && (this->members(now) != this->knownMembers || this->upstreams.all() != this->knownUpstreams))) {
        this->update(now);
    }
}

void UpstreamLimiter::leave(absl::Time now)
{
    this->self.live = false;
    this->update(now);
}

std::vector<LimitMember> UpstreamLimiter::members(absl::Time now) const
{
    std::vector<LimitMember> result{this->self};
    for (const auto &[name, peer] : this->peers.all()) {
        // A host that leaves hands its share over; one that has only fallen silent may still be using it.
        if (!peer.leaving) {
            result.push_back({.name = name, .dataCentre = peer.dataCentre, .region = peer.region, .live = PeerTable::isLive(peer, now)});
        }
    }
    return result;
}

void UpstreamLimiter::update(absl::Time now)
{
    this->limitsChanged = false;
    this->knownMembers = this->members(now);
    this->knownUpstreams = this->upstreams.all();
    // In a large fleet a host uses mostly the upstreams of its own data centre.
    const LimitShares::Scope scope{.sameDataCentre = this->peers.size() > PeerTable::maxFullMeshPeers};
    this->shares.update(this->limits.limited(), this->knownUpstreams, this->knownMembers, scope, now);
}

bool UpstreamLimiter::mayStart(const UpstreamInfo &upstream, LimitedClass requestClass, absl::Time now) const
{
    return this->shares.mayStart(upstream, requestClass, now);
}

void UpstreamLimiter::recordStart(const UpstreamInfo &upstream, absl::Time now)
{
    this->shares.recordStart(upstream, now);
}

std::vector<LimitReport> UpstreamLimiter::reports(bool recentOnly, absl::Time now) const
{
    return this->limits.ownReports(recentOnly, now);
}

double UpstreamLimiter::returnRate(const std::vector<const UpstreamInfo *> &limited) const
{
    double held = 0;
    double whole = 0;
    for (const UpstreamInfo *upstream : limited) {
        held += this->shares.rate(*upstream);
        whole += this->limits.find(upstreamRunKey(upstream->run())).value_or(0);
    }
    return std::max(held, whole / static_cast<double>(std::max<std::size_t>(1, this->knownMembers.size())));
}

std::optional<absl::Duration> UpstreamLimiter::reserveReturn(std::string_view service, absl::Time now)
{
    const std::vector<const UpstreamInfo *> available = this->upstreams.available(service);
    if (available.empty() || !std::ranges::all_of(available, [this](const UpstreamInfo *upstream) { return this->shares.isLimited(*upstream); })) {
        return std::nullopt;
    }
    const double rate = this->returnRate(available);
    const absl::Duration interval = rate > 0 ? std::min(maxRetryAfter, absl::Seconds(1.0 / rate)) : maxRetryAfter;
    // One place after the other, so that the callers do not return at once. Beyond the longest wait they share the last place.
    this->lastReturn = std::min(std::max(now, this->lastReturn) + interval, now + maxRetryAfter);
    return this->lastReturn - now;
}

const LimitShares &UpstreamLimiter::currentShares() const
{
    return this->shares;
}

} // namespace Bergamotramp
