#include "LimitShares.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "RendezvousHash.h"
#include "UpstreamRun.h"

namespace Bergamotramp {

namespace {

struct Candidates {
    std::vector<std::string> live;
    /** Number of live and silent hosts. */
    std::size_t known = 0;
};

template <typename Filter>
Candidates candidatesIn(const std::vector<LimitMember> &members, Filter accepts)
{
    Candidates result;
    for (const LimitMember &member : members) {
        if (!accepts(member)) {
            continue;
        }
        ++result.known;
        if (member.live) {
            result.live.push_back(member.name);
        }
    }
    return result;
}

Candidates candidatesFor(const UpstreamInfo &upstream, const std::vector<LimitMember> &members, const LimitShares::Scope &scope)
{
    const auto sameDataCentre = [&upstream](const LimitMember &member) { return member.dataCentre == upstream.dataCentre; };
    const auto home = std::ranges::find_if(members, sameDataCentre);
    Candidates result;
    if (scope.sameDataCentre) {
        result = candidatesIn(members, sameDataCentre);
    }
    if (result.live.empty() && home != members.end()) {
        result = candidatesIn(members, [&home](const LimitMember &member) { return member.region == home->region; });
    }
    return result.live.empty() ? candidatesIn(members, [](const LimitMember &) { return true; }) : result;
}

} // namespace

LimitShares::LimitShares(std::string self, absl::Time startedAt) : self(std::move(self)), startedAt(startedAt)
{
}

double LimitShares::shareOf(double limit, const UpstreamInfo &upstream) const
{
    const Candidates candidates = candidatesFor(upstream, this->members, this->scope);
    const auto wanted = static_cast<std::size_t>(std::clamp(std::floor(limit / minShare), 1.0, static_cast<double>(this->members.size())));
    std::vector<std::string> holders = rendezvousOrder(upstream.id, candidates.live);
    holders.resize(std::min(wanted, holders.size()));
    if (std::ranges::find(holders, this->self) == holders.end()) {
        return 0;
    }
    // Hosts that have fallen silent may be cut off together with others that take each other for the whole fleet. If each side uses
    // the part of the limit that its hosts are of all hosts, both together keep the limit.
    const double liveShare = static_cast<double>(candidates.live.size()) / static_cast<double>(candidates.known);
    return limit * liveShare / static_cast<double>(holders.size());
}

LimitShares::Share LimitShares::nextShare(double limit, const UpstreamInfo &upstream, const Share *former, absl::Time now) const
{
    const double rate = this->shareOf(limit, upstream);
    Share share{.limit = limit, .held = rate > 0, .rate = rate, .saved = 0, .savedAt = std::max(now, this->startedAt + handoverDelay)};
    if (former != nullptr && former->held) {
        share.saved = savedBy(*former, now);
        share.savedAt = std::max(now, former->savedAt);
    } else if (former != nullptr) {
        share.savedAt = std::max(share.savedAt, now + handoverDelay);
    }
    return share;
}

void LimitShares::update(const std::vector<LimitReport> &limits,
                         const std::vector<UpstreamInfo> &upstreams,
                         const std::vector<LimitMember> &currentMembers,
                         const Scope &currentScope,
                         absl::Time now)
{
    const bool sameHosts = currentMembers == this->members && currentScope == this->scope;
    this->members = currentMembers;
    this->scope = currentScope;
    absl::flat_hash_map<std::uint32_t, double> limitByRun;
    for (const LimitReport &report : limits) {
        if (report.requestsPerSecond) {
            limitByRun[report.run] = *report.requestsPerSecond;
        }
    }
    const absl::flat_hash_map<std::uint32_t, Share> formerShares = std::exchange(this->shares, {});
    for (const UpstreamInfo &upstream : upstreams) {
        const std::uint32_t key = upstreamRunKey(upstream.run());
        const auto limit = limitByRun.find(key);
        if (limit == limitByRun.end()) {
            continue;
        }
        const auto found = formerShares.find(key);
        const Share *former = found == formerShares.end() ? nullptr : &found->second;
        const bool unchanged = former != nullptr && sameHosts && former->limit == limit->second;
        this->shares[key] = unchanged ? *former : this->nextShare(limit->second, upstream, former, now);
    }
}

double LimitShares::savedBy(const Share &share, absl::Time now)
{
    const double seconds = std::max(0.0, absl::ToDoubleSeconds(now - share.savedAt));
    return std::min(maxSaved, share.saved + share.rate * seconds);
}

const LimitShares::Share *LimitShares::find(const UpstreamInfo &upstream) const
{
    if (this->shares.empty()) {
        return nullptr;
    }
    const auto found = this->shares.find(upstreamRunKey(upstream.run()));
    return found == this->shares.end() ? nullptr : &found->second;
}

bool LimitShares::mayStart(const UpstreamInfo &upstream, LimitedClass requestClass, absl::Time now) const
{
    const Share *share = this->find(upstream);
    if (share == nullptr) {
        return true;
    }
    return share->held && savedBy(*share, now) >= (requestClass == LimitedClass::Batch ? 1.0 + savedForOnline : 1.0);
}

void LimitShares::recordStart(const UpstreamInfo &upstream, absl::Time now)
{
    if (this->shares.empty()) {
        return;
    }
    const auto found = this->shares.find(upstreamRunKey(upstream.run()));
    if (found != this->shares.end()) {
        Share &share = found->second;
        share.saved = savedBy(share, now) - 1.0;
        share.savedAt = std::max(now, share.savedAt);
    }
}

bool LimitShares::isLimited(const UpstreamInfo &upstream) const
{
    return this->find(upstream) != nullptr;
}

double LimitShares::rate(const UpstreamInfo &upstream) const
{
    const Share *share = this->find(upstream);
    return share == nullptr ? 0.0 : share->rate;
}

std::size_t LimitShares::limitedUpstreams() const
{
    return this->shares.size();
}

std::size_t LimitShares::heldUpstreams() const
{
    return static_cast<std::size_t>(std::ranges::count_if(this->shares, [](const auto &entry) { return entry.second.held; }));
}

} // namespace Bergamotramp
