#include "SlotQueue.h"

#include <algorithm>

namespace Bergamotramp {

namespace {

std::pair<wire::WorkClass, std::uint64_t> arrivalKey(const PoolRequest &request, std::uint64_t arrival)
{
    return {request.workClass, arrival};
}

} // namespace

void SlotQueue::add(const PoolRequest &request, const Placement &placement)
{
    const auto [found, created] = this->waiting.emplace(request.id, WaitingRequest{request, Stage::Queued, {}, this->nextArrival++});
    if (!created) {
        return;
    }
    ++this->classQueueOf(request).count;
    this->deadlines.emplace(request.grantDeadline, request.id);
    this->addToStage(request.id, found->second, placement);
}

void SlotQueue::move(const GrantId &id, const Placement &placement)
{
    WaitingRequest &entry = this->waiting.at(id);
    this->removeFromStage(entry);
    this->addToStage(id, entry, placement);
}

PoolRequest SlotQueue::remove(const GrantId &id)
{
    this->removeFromStage(this->waiting.at(id));
    return this->eraseRecord(id);
}

std::optional<PoolRequest> SlotQueue::pop(wire::WorkClass workClass, const FairQueue::Filter &filter, const Cost &cost)
{
    ClassQueue &classQueue = workClass == wire::WORK_CLASS_ONLINE ? this->online : this->batch;
    const std::optional<GrantId> id = classQueue.queue.pop(filter, cost);
    if (!id.has_value()) {
        return std::nullopt;
    }
    this->countCopy(this->waiting.at(*id).request, -1);
    return this->eraseRecord(*id);
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
    return this->waiting.at(id).position.lane;
}

std::size_t SlotQueue::count(wire::WorkClass workClass) const
{
    return workClass == wire::WORK_CLASS_ONLINE ? this->online.count : this->batch.count;
}

const FairQueue &SlotQueue::queued(wire::WorkClass workClass) const
{
    return workClass == wire::WORK_CLASS_ONLINE ? this->online.queue : this->batch.queue;
}

const SlotQueue::IdsByArrival &SlotQueue::suspects() const
{
    return this->suspectIds;
}

std::size_t SlotQueue::blockedCount() const
{
    return this->blockedRequests;
}

std::optional<GrantId> SlotQueue::firstBlocked(std::uint64_t fingerprint) const
{
    const auto ids = this->blocked.find(fingerprint);
    return ids == this->blocked.end() ? std::nullopt : std::optional<GrantId>(ids->second.begin()->second);
}

std::size_t SlotQueue::queuedCopies(std::uint64_t fingerprint, wire::WorkClass workClass) const
{
    const ClassQueue &classQueue = workClass == wire::WORK_CLASS_ONLINE ? this->online : this->batch;
    const auto found = classQueue.copies.find(fingerprint);
    return found == classQueue.copies.end() ? 0 : found->second;
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
    return this->selectByArrival([](const PoolRequest &) { return true; });
}

std::vector<GrantId> SlotQueue::ofHost(const std::string &host) const
{
    return this->selectByArrival([&host](const PoolRequest &request) { return request.id.host == host; });
}

std::vector<GrantId> SlotQueue::copiesOf(std::uint64_t fingerprint) const
{
    return this->selectByArrival([fingerprint](const PoolRequest &request) { return request.fingerprint == fingerprint; });
}

std::set<std::string> SlotQueue::hosts() const
{
    std::set<std::string> names;
    for (const auto &[id, entry] : this->waiting) {
        names.insert(id.host);
    }
    return names;
}

SlotQueue::ClassQueue &SlotQueue::classQueueOf(const PoolRequest &request)
{
    return request.workClass == wire::WORK_CLASS_ONLINE ? this->online : this->batch;
}

void SlotQueue::addToStage(const GrantId &id, WaitingRequest &entry, const Placement &placement)
{
    const PoolRequest &request = entry.request;
    entry.stage = placement.stage;
    if (placement.stage == Stage::Suspect) {
        this->suspectIds.emplace(arrivalKey(request, entry.arrival), id);
    } else if (placement.stage == Stage::Blocked) {
        this->blocked[request.fingerprint].emplace(arrivalKey(request, entry.arrival), id);
        ++this->blockedRequests;
    } else {
        entry.position = this->classQueueOf(request).queue.push(request.organisation, placement.lane, placement.order, id);
        this->countCopy(request, 1);
    }
}

void SlotQueue::removeFromStage(const WaitingRequest &entry)
{
    const PoolRequest &request = entry.request;
    if (entry.stage == Stage::Suspect) {
        this->suspectIds.erase(arrivalKey(request, entry.arrival));
    } else if (entry.stage == Stage::Blocked) {
        IdsByArrival &ids = this->blocked[request.fingerprint];
        ids.erase(arrivalKey(request, entry.arrival));
        if (ids.empty()) {
            this->blocked.erase(request.fingerprint);
        }
        --this->blockedRequests;
    } else {
        this->classQueueOf(request).queue.erase(entry.position);
        this->countCopy(request, -1);
    }
}

PoolRequest SlotQueue::eraseRecord(const GrantId &id)
{
    const auto found = this->waiting.find(id);
    PoolRequest request = std::move(found->second.request);
    this->waiting.erase(found);
    this->deadlines.erase({request.grantDeadline, request.id});
    --this->classQueueOf(request).count;
    return request;
}

// Fingerprint 0 stands for an unknown request, which has no copies.
void SlotQueue::countCopy(const PoolRequest &request, int change)
{
    if (request.fingerprint == 0) {
        return;
    }
    auto &copies = this->classQueueOf(request).copies;
    std::size_t &number = copies[request.fingerprint];
    number += static_cast<std::size_t>(change);
    if (number == 0) {
        copies.erase(request.fingerprint);
    }
}

std::vector<GrantId> SlotQueue::selectByArrival(const std::function<bool(const PoolRequest &)> &predicate) const
{
    std::vector<std::pair<std::uint64_t, GrantId>> found;
    for (const auto &[id, entry] : this->waiting) {
        if (predicate(entry.request)) {
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
