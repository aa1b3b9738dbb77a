#include "SlotQueue.h"

#include <algorithm>

namespace Bergamotramp {

namespace {

std::pair<wire::WorkClass, std::uint64_t> linePlace(const PoolRequest &request, std::uint64_t arrival)
{
    return {request.workClass, arrival};
}

} // namespace

void SlotQueue::add(const PoolRequest &request, const Placement &placement)
{
    const auto [found, created] = this->waiting.emplace(request.id, Waiting{request, Stage::Queued, {}, this->nextArrival++});
    if (!created) {
        return;
    }
    ++this->classOf(request).count;
    this->deadlines.emplace(request.deadline, request.id);
    this->place(request.id, found->second, placement);
}

void SlotQueue::move(const GrantId &id, const Placement &placement)
{
    Waiting &entry = this->waiting.at(id);
    this->detach(entry);
    this->place(id, entry, placement);
}

PoolRequest SlotQueue::remove(const GrantId &id)
{
    this->detach(this->waiting.at(id));
    return this->forget(id);
}

std::optional<PoolRequest> SlotQueue::pop(wire::WorkClass workClass, const FairQueue::Filter &filter, const Cost &cost)
{
    Class &group = workClass == wire::WORK_CLASS_ONLINE ? this->online : this->batch;
    const std::optional<GrantId> id = group.queue.pop(filter, cost);
    if (!id.has_value()) {
        return std::nullopt;
    }
    this->countCopy(this->waiting.at(*id).request, -1);
    return this->forget(*id);
}

void SlotQueue::prune()
{
    this->online.queue.prune();
    this->batch.queue.prune();
}

bool SlotQueue::empty() const
{
    return this->waiting.empty();
}

bool SlotQueue::contains(const GrantId &id) const
{
    return this->waiting.contains(id);
}

const PoolRequest &SlotQueue::request(const GrantId &id) const
{
    return this->waiting.at(id).request;
}

SlotQueue::Stage SlotQueue::stage(const GrantId &id) const
{
    return this->waiting.at(id).stage;
}

FairQueue::Lane SlotQueue::lane(const GrantId &id) const
{
    return this->waiting.at(id).place.lane;
}

std::size_t SlotQueue::count(wire::WorkClass workClass) const
{
    return workClass == wire::WORK_CLASS_ONLINE ? this->online.count : this->batch.count;
}

const FairQueue &SlotQueue::queued(wire::WorkClass workClass) const
{
    return workClass == wire::WORK_CLASS_ONLINE ? this->online.queue : this->batch.queue;
}

const SlotQueue::Line &SlotQueue::suspects() const
{
    return this->suspectLine;
}

std::size_t SlotQueue::parkedCount() const
{
    return this->parkedRequests;
}

std::optional<GrantId> SlotQueue::firstParked(std::uint64_t fingerprint) const
{
    const auto line = this->parked.find(fingerprint);
    return line == this->parked.end() ? std::nullopt : std::optional<GrantId>(line->second.begin()->second);
}

std::size_t SlotQueue::queuedCopies(std::uint64_t fingerprint, wire::WorkClass workClass) const
{
    const Class &group = workClass == wire::WORK_CLASS_ONLINE ? this->online : this->batch;
    const auto found = group.copies.find(fingerprint);
    return found == group.copies.end() ? 0 : found->second;
}

std::optional<GrantId> SlotQueue::expired(absl::Time now) const
{
    if (this->deadlines.empty() || this->deadlines.begin()->first > now) {
        return std::nullopt;
    }
    return this->deadlines.begin()->second;
}

std::vector<GrantId> SlotQueue::all() const
{
    return this->inOrder([](const PoolRequest &) { return true; });
}

std::vector<GrantId> SlotQueue::ofHost(const std::string &host) const
{
    return this->inOrder([&host](const PoolRequest &request) { return request.id.host == host; });
}

std::vector<GrantId> SlotQueue::copiesOf(std::uint64_t fingerprint) const
{
    return this->inOrder([fingerprint](const PoolRequest &request) { return request.fingerprint == fingerprint; });
}

std::set<std::string> SlotQueue::hosts() const
{
    std::set<std::string> names;
    for (const auto &[id, entry] : this->waiting) {
        names.insert(id.host);
    }
    return names;
}

SlotQueue::Class &SlotQueue::classOf(const PoolRequest &request)
{
    return request.workClass == wire::WORK_CLASS_ONLINE ? this->online : this->batch;
}

void SlotQueue::place(const GrantId &id, Waiting &entry, const Placement &placement)
{
    const PoolRequest &request = entry.request;
    entry.stage = placement.stage;
    if (placement.stage == Stage::Suspect) {
        this->suspectLine.emplace(linePlace(request, entry.arrival), id);
    } else if (placement.stage == Stage::Parked) {
        this->parked[request.fingerprint].emplace(linePlace(request, entry.arrival), id);
        ++this->parkedRequests;
    } else {
        entry.place = this->classOf(request).queue.push(request.organisation, placement.lane, placement.order, id);
        this->countCopy(request, 1);
    }
}

void SlotQueue::detach(const Waiting &entry)
{
    const PoolRequest &request = entry.request;
    if (entry.stage == Stage::Suspect) {
        this->suspectLine.erase(linePlace(request, entry.arrival));
    } else if (entry.stage == Stage::Parked) {
        Line &line = this->parked[request.fingerprint];
        line.erase(linePlace(request, entry.arrival));
        if (line.empty()) {
            this->parked.erase(request.fingerprint);
        }
        --this->parkedRequests;
    } else {
        this->classOf(request).queue.erase(entry.place);
        this->countCopy(request, -1);
    }
}

PoolRequest SlotQueue::forget(const GrantId &id)
{
    const auto found = this->waiting.find(id);
    PoolRequest request = std::move(found->second.request);
    this->waiting.erase(found);
    this->deadlines.erase({request.deadline, request.id});
    --this->classOf(request).count;
    return request;
}

// Fingerprint 0 stands for an unknown request, which has no copies.
void SlotQueue::countCopy(const PoolRequest &request, int change)
{
    if (request.fingerprint == 0) {
        return;
    }
    auto &copies = this->classOf(request).copies;
    std::size_t &known = copies[request.fingerprint];
    known += static_cast<std::size_t>(change);
    if (known == 0) {
        copies.erase(request.fingerprint);
    }
}

std::vector<GrantId> SlotQueue::inOrder(const std::function<bool(const PoolRequest &)> &wanted) const
{
    std::vector<std::pair<std::uint64_t, GrantId>> found;
    for (const auto &[id, entry] : this->waiting) {
        if (wanted(entry.request)) {
            found.emplace_back(entry.arrival, id);
        }
    }
    std::sort(found.begin(), found.end());
    std::vector<GrantId> ids;
    for (auto &[arrival, id] : found) {
        ids.push_back(std::move(id));
    }
    return ids;
}

} // namespace Bergamotramp
