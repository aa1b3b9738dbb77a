#include "FairQueue.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace Bergamotramp {

namespace {

// Entries tried per organisation and lane in one pop(). An entry is only rejected for its own limits (excluded
// upstreams, copies in flight), so a longer search rarely finds more.
constexpr std::size_t maxTriesPerLane = 16;

std::size_t indexOf(FairQueue::Lane lane)
{
    return lane == FairQueue::Lane::Short ? 0 : 1;
}

} // namespace

std::size_t FairQueue::Organisation::size() const
{
    return this->lanes[0].size() + this->lanes[1].size();
}

bool FairQueue::Candidate::operator<(const Candidate &other) const
{
    return std::pair(this->rank, this->virtualTime) < std::pair(other.rank, other.virtualTime);
}

FairQueue::Position FairQueue::push(const std::string &organisation, Lane lane, absl::Time order, const GrantId &id)
{
    Organisation &entry = this->organisations[organisation];
    if (entry.size() == 0) {
        // An organisation gets no credit for the time in which it had nothing queued.
        entry.virtualTime = std::max(entry.virtualTime, this->virtualTime);
    }
    const Position position{organisation, lane, order, this->nextArrival++};
    entry.lanes.at(indexOf(lane)).emplace(Key(order, position.arrival), id);
    ++this->count;
    return position;
}

void FairQueue::erase(const Position &position)
{
    const auto found = this->organisations.find(position.organisation);
    if (found != this->organisations.end()) {
        this->count -= found->second.lanes.at(indexOf(position.lane)).erase(Key(position.order, position.arrival));
    }
}

std::vector<FairQueue::Candidate> FairQueue::candidates(const Filter &filter)
{
    std::vector<Candidate> found;
    for (auto &[name, organisation] : this->organisations) {
        absl::Time earliest = absl::InfiniteFuture();
        bool hasEntries = false;
        for (std::size_t lane = 0; lane < (filter.longLane ? 2U : 1U); ++lane) {
            if (!organisation.lanes.at(lane).empty()) {
                earliest = std::min(earliest, organisation.lanes.at(lane).begin()->first.first);
                hasEntries = true;
            }
        }
        if (hasEntries) {
            found.push_back({filter.rank ? filter.rank(earliest) : 0, organisation.virtualTime, &organisation});
        }
    }
    return found;
}

std::optional<GrantId> FairQueue::takeFirstAccepted(Organisation &organisation, const Filter &filter)
{
    std::array<Items::iterator, 2> next{organisation.lanes[0].begin(), organisation.lanes[1].begin()};
    std::array<std::size_t, 2> triesLeft{maxTriesPerLane, filter.longLane ? maxTriesPerLane : 0};
    while (true) {
        const bool shortLeft = triesLeft[0] > 0 && next[0] != organisation.lanes[0].end();
        const bool longLeft = triesLeft[1] > 0 && next[1] != organisation.lanes[1].end();
        if (!shortLeft && !longLeft) {
            return std::nullopt;
        }
        const std::size_t lane = shortLeft && (!longLeft || next[0]->first < next[1]->first) ? 0 : 1;
        if (filter.accept(next.at(lane)->second)) {
            GrantId id = next.at(lane)->second;
            organisation.lanes.at(lane).erase(next.at(lane));
            return id;
        }
        ++next.at(lane);
        --triesLeft.at(lane);
    }
}

std::optional<GrantId> FairQueue::pop(const Filter &filter, const std::function<double(const GrantId &)> &cost)
{
    const auto later = [](const Candidate &left, const Candidate &right) { return right < left; };
    std::vector<Candidate> heap = this->candidates(filter);
    std::make_heap(heap.begin(), heap.end(), later);
    while (!heap.empty()) {
        std::pop_heap(heap.begin(), heap.end(), later);
        Organisation &organisation = *heap.back().organisation;
        heap.pop_back();
        const std::optional<GrantId> id = FairQueue::takeFirstAccepted(organisation, filter);
        if (id.has_value()) {
            --this->count;
            this->virtualTime = std::max(this->virtualTime, organisation.virtualTime);
            organisation.virtualTime += cost(*id);
            return id;
        }
    }
    return std::nullopt;
}

void FairQueue::forEach(bool longLane, const std::function<bool(const GrantId &)> &visit) const
{
    for (const auto &[name, organisation] : this->organisations) {
        for (std::size_t lane = 0; lane < (longLane ? 2U : 1U); ++lane) {
            for (const auto &[key, id] : organisation.lanes.at(lane)) {
                if (!visit(id)) {
                    return;
                }
            }
        }
    }
}

std::size_t FairQueue::aheadOfLast(const std::string &organisation) const
{
    const auto own = this->organisations.find(organisation);
    if (own == this->organisations.end() || own->second.size() == 0) {
        return 0;
    }
    std::size_t sum = own->second.size() - 1;
    for (const auto &[name, other] : this->organisations) {
        if (name != organisation) {
            sum += std::min(other.size(), own->second.size());
        }
    }
    return sum;
}

std::size_t FairQueue::size() const
{
    return this->count;
}

void FairQueue::prune()
{
    std::erase_if(this->organisations, [this](const auto &entry) { return entry.second.size() == 0 && entry.second.virtualTime <= this->virtualTime; });
    std::vector<std::pair<double, std::string>> idle;
    for (const auto &[name, organisation] : this->organisations) {
        if (organisation.size() == 0) {
            idle.emplace_back(organisation.virtualTime, name);
        }
    }
    if (idle.size() <= maxIdleOrganisations) {
        return;
    }
    std::sort(idle.begin(), idle.end());
    idle.resize(idle.size() - maxIdleOrganisations);
    for (const auto &[time, name] : idle) {
        this->organisations.erase(name);
    }
}

} // namespace Bergamotramp
