#include "QuotaHolders.h"

#include <algorithm>
#include <utility>

#include "AnnouncementSchedule.h"
#include "RendezvousHash.h"

namespace Bergamotramp {

QuotaHolders::QuotaHolders(LimitMember self, absl::Time startedAt) : self(std::move(self)), startedAt(startedAt), changedAt(startedAt)
{
    this->versions.push_back({.members = {this->self}, .live = {this->self.name}, .since = startedAt});
}

void QuotaHolders::update(std::vector<LimitMember> members, bool expectsOtherHosts, absl::Time now)
{
    this->expectsOthers = expectsOtherHosts;
    if (members == this->versions.back().members) {
        return;
    }
    Version version{.members = std::move(members), .live = {}, .since = now};
    for (const LimitMember &member : version.members) {
        if (member.live) {
            version.live.push_back(member.name);
        }
    }
    this->changedAt = now;
    ++this->changes;
    // While a host that starts learns of one host after the other, what it does not know yet is no change of the fleet.
    if (this->versions.size() == 1 && now < this->startedAt + maxSettleTime) {
        version.since = this->startedAt;
        this->versions.pop_back();
    }
    this->versions.push_back(std::move(version));
    if (this->versions.size() > maxVersions) {
        this->versions.pop_front();
        this->knowsSinceStart = false;
    }
}

double QuotaHolders::fractionIn(const Version &version, std::string_view organisation, std::size_t count) const
{
    const std::vector<std::string> holders = rendezvousFirst(organisation, version.live, count);
    if (std::ranges::find(holders, this->self.name) == holders.end()) {
        return 0;
    }
    // Silent hosts may be cut off together with others that take each other for the whole fleet, as for LimitShares.
    return static_cast<double>(version.live.size()) / static_cast<double>(version.members.size()) / static_cast<double>(holders.size());
}

bool QuotaHolders::settled(absl::Time now) const
{
    return now >= this->startedAt + maxSettleTime || now >= this->changedAt + settleTime;
}

QuotaHolders::Part QuotaHolders::part(std::string_view organisation, const QuotaTerms &terms, absl::Time now) const
{
    if (!this->settled(now)) {
        return {};
    }
    Part part{.fraction = 1};
    auto version = this->versions.rbegin();
    for (; version != this->versions.rend(); ++version) {
        const double fraction = this->fractionIn(*version, organisation, terms.holders);
        const bool recent = version == this->versions.rbegin() || std::prev(version)->since > now - handoverDelay;
        if (recent) {
            part.fraction = std::min(part.fraction, fraction);
        }
        if (fraction <= 0) {
            break;
        }
        part.heldSince = version->since;
    }
    if (part.fraction <= 0) {
        return {};
    }
    // The tokens of an earlier run of this host and those since the start of this one come from the same rate, and this run begins
    // with an empty bucket, so that both together keep the bound without a delay.
    const bool sinceStart = version == this->versions.rend() && this->knowsSinceStart;
    part.filledSince = sinceStart ? this->startedAt : part.heldSince + handoverDelay;
    if (this->expectsOthers && this->versions.back().members.size() == 1) {
        part.fraction = std::min(part.fraction, shareOfLoneHost);
    }
    return part;
}

std::vector<std::string> QuotaHolders::holders(std::string_view organisation, const QuotaTerms &terms) const
{
    const Version &newest = this->versions.back();
    std::vector<std::string> result = rendezvousFirst(organisation, newest.live, terms.holders);
    // This host itself comes before all others.
    const auto order = [this, &newest](const std::string &name) {
        const auto member = std::ranges::find(newest.members, name, &LimitMember::name);
        return std::pair(name != this->self.name, distanceBetween(this->self, *member));
    };
    std::ranges::stable_sort(result, {}, order);
    return result;
}

std::uint64_t QuotaHolders::revision() const
{
    return this->changes;
}

QuotaShare QuotaHolders::share(const QuotaTerms &terms, const Part &part)
{
    if (part.fraction <= 0) {
        return {};
    }
    return {.rate = terms.rate * part.fraction, .capacity = std::max(1.0, terms.capacity * part.fraction)};
}

} // namespace Bergamotramp
