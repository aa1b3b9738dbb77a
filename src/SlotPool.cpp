#include "SlotPool.h"

#include <algorithm>
#include <iterator>

namespace Bergamotramp {

namespace {

// Share of the slots that long online streams may hold, so that they do not occupy the whole pool and block short
// requests.
constexpr double longStreamShare = 0.5;
// Fair queueing charges a request one unit, plus one for each of these many expected tokens.
constexpr double tokensPerCostUnit = 256.0;
// A revocation is repeated, because its message can be lost on the network.
constexpr absl::Duration revokeRepeatPeriod = absl::Milliseconds(250);
// A longer gap between ticks means that this process was paused. The reports of the hosts wait in its sockets
// meanwhile, so their grants must not expire.
constexpr absl::Duration minProcessPause = absl::Seconds(1);
constexpr absl::Duration minRetryAfter = absl::Milliseconds(100);
constexpr absl::Duration overloadedRetryAfter = absl::Seconds(1);
// Shorter intervals between progress reports show buffering in the network rather than the speed of the upstream.
constexpr absl::Duration minProgressInterval = absl::Milliseconds(500);

double costOf(const PoolRequest &request)
{
    return 1.0 + request.expectedTokens / tokensPerCostUnit;
}

// Ranks a batch job by its laxity, the time left before it has to start. The ranks are coarse, so that among jobs of
// similar urgency the fairness between organisations decides.
int laxityRank(absl::Duration laxity)
{
    constexpr absl::Duration limits[] = {absl::ZeroDuration(), absl::Minutes(1), absl::Minutes(10), absl::Hours(1), absl::Hours(8)};
    return static_cast<int>(std::lower_bound(std::begin(limits), std::end(limits), laxity) - std::begin(limits));
}

bool isOnline(const PoolRequest &request)
{
    return request.workClass == wire::WORK_CLASS_ONLINE;
}

} // namespace

SlotPool::SlotPool(const ServiceSpec &spec) : spec(spec)
{
}

SlotActions SlotPool::configure(const ServiceSpec &newSpec, const std::vector<PoolUpstream> &upstreams, absl::Time now)
{
    this->spec = newSpec;
    this->load.setUpstreams(upstreams);
    return this->dispatchAndTakeActions(now);
}

void SlotPool::blockBatchUntil(absl::Time time)
{
    this->batchBlockedUntil = time;
}

SlotActions SlotPool::request(const PoolRequest &request, absl::Time now)
{
    const auto held = this->grants.find(request.id);
    if (held != this->grants.end()) {
        const auto upstream = this->load.entries().find(held->second.upstream);
        const std::string address = upstream == this->load.entries().end() ? "" : upstream->second.spec.address;
        this->pendingActions.emplace_back(SlotGranted{request.id, held->second.upstream, address});
        return this->dispatchAndTakeActions(now);
    }
    if (this->endedIds.contains(request.id) || this->queue.contains(request.id)) {
        return this->dispatchAndTakeActions(now);
    }
    if (isOnline(request)) {
        this->demand.onArrival(now, request.expectedTokens);
    }
    if (!this->denyIfInadmissible(request, now)) {
        this->queue.add(request, this->placementOf(request, now));
        this->dispatch(now);
        this->denyIfTooLate(request.id, now);
    }
    return this->dispatchAndTakeActions(now);
}

bool SlotPool::denyIfInadmissible(const PoolRequest &request, absl::Time now)
{
    if (isOnline(request) && this->crashQuarantine.isQuarantined(request.fingerprint, now)) {
        this->deny(request.id, SlotDenialCode::quarantined, absl::ZeroDuration());
    } else if (request.grantDeadline <= now) {
        this->deny(request.id, SlotDenialCode::deadline, absl::ZeroDuration());
    } else if (!this->load.anyTakesWork()) {
        this->deny(request.id, SlotDenialCode::noUpstream, overloadedRetryAfter);
    } else if (this->queue.count(request.workClass) >= (isOnline(request) ? maxOnlineWaiting : maxBatchWaiting)) {
        this->deny(request.id, SlotDenialCode::overloaded, overloadedRetryAfter);
    } else {
        return false;
    }
    return true;
}

void SlotPool::deny(const GrantId &id, const char *code, absl::Duration retryAfter)
{
    ++this->denialCount;
    this->pendingActions.emplace_back(SlotDenied{id, code, retryAfter});
}

// Denies a request at once if it would expire in the queue, so that the caller can try elsewhere while there is time.
void SlotPool::denyIfTooLate(const GrantId &id, absl::Time now)
{
    if (!this->queue.contains(id) || !isOnline(this->queue.request(id)) || this->queue.stage(id) != SlotQueue::Stage::Queued) {
        return;
    }
    const PoolRequest &request = this->queue.request(id);
    const std::size_t ahead = this->queue.queued(wire::WORK_CLASS_ONLINE).aheadOfLast(request.organisation);
    const auto revoking = static_cast<std::size_t>(
        std::count_if(this->grants.begin(), this->grants.end(), [](const auto &item) { return item.second.revokedAt != absl::InfinitePast(); }));
    if (ahead < revoking) {
        return;
    }
    const absl::Duration wait = this->demand.expectedWait(ahead - revoking, this->load.usableSlots());
    if (now + wait > request.grantDeadline || !this->completesInTime(request, now + wait)) {
        this->dropWaiting(id, now);
        this->deny(id, SlotDenialCode::deadline, std::max(minRetryAfter, wait));
    }
}

bool SlotPool::completesInTime(const PoolRequest &request, absl::Time start) const
{
    return start + this->demand.expectedService(request.expectedTokens) <= request.completionDeadline;
}

// While slots are scarce, denies queued requests that can no longer complete in time, because a slot given to one is
// lost to a request that can. Without this, a load of three times the capacity halved the number of calls answered in time, compared with a load at capacity.
void SlotPool::denyUnableToComplete(absl::Time now)
{
    const FairQueue &online = this->queue.queued(wire::WORK_CLASS_ONLINE);
    const bool contended = online.size() > 1 || !this->load.hasRoom(wire::WORK_CLASS_ONLINE, now);
    if (online.size() == 0 || !contended) {
        return;
    }
    std::vector<GrantId> lateIds;
    online.forEach(true, [&](const GrantId &id) {
        if (!this->completesInTime(this->queue.request(id), now)) {
            lateIds.push_back(id);
        }
        return true;
    });
    for (const GrantId &id : lateIds) {
        this->dropWaiting(id, now);
        this->deny(id, SlotDenialCode::deadline, minRetryAfter);
    }
}

SlotQueue::Placement SlotPool::placementOf(const PoolRequest &request, absl::Time now) const
{
    SlotQueue::Placement placement;
    if (this->crashQuarantine.mustRunAlone(request.fingerprint, now)) {
        placement.stage = SlotQueue::Stage::Suspect;
    } else if (!this->copyAllowed(request)) {
        placement.stage = SlotQueue::Stage::Blocked;
    } else if (!isOnline(request)) {
        placement.order = request.completionDeadline - request.expectedTokens * this->spec.online.betweenTokens;
    } else if (this->demand.expectedLong(request.expectedTokens)) {
        placement.lane = FairQueue::Lane::Long;
    }
    return placement;
}

void SlotPool::dropWaiting(const GrantId &id, absl::Time now)
{
    const PoolRequest dropped = this->queue.remove(id);
    this->unblockCopies(dropped.fingerprint, now);
}

void SlotPool::updateWaitingCopies(std::uint64_t fingerprint, absl::Time now)
{
    const bool quarantined = this->crashQuarantine.isQuarantined(fingerprint, now);
    for (const GrantId &id : this->queue.copiesOf(fingerprint)) {
        if (quarantined && isOnline(this->queue.request(id))) {
            this->dropWaiting(id, now);
            this->deny(id, SlotDenialCode::quarantined, absl::ZeroDuration());
        } else {
            this->updatePlacement(id, now);
        }
    }
}

// Takes the request out of the fair queue first, because its own entry would count as a queued copy.
void SlotPool::updatePlacement(const GrantId &id, absl::Time now)
{
    const PoolRequest request = this->queue.request(id);
    this->queue.move(id, {SlotQueue::Stage::Blocked});
    this->queue.move(id, this->placementOf(request, now));
}

void SlotPool::unblockCopies(std::uint64_t fingerprint, absl::Time now)
{
    for (std::optional<GrantId> id = this->queue.firstBlocked(fingerprint); id.has_value() && this->copyAllowed(this->queue.request(*id));
         id = this->queue.firstBlocked(fingerprint)) {
        this->queue.move(*id, this->placementOf(PoolRequest(this->queue.request(*id)), now));
    }
}

// Queued batch copies do not count against an online request, which must not wait behind them.
bool SlotPool::copyAllowed(const PoolRequest &request) const
{
    if (request.fingerprint == 0) {
        return true;
    }
    const std::size_t queuedBatch = isOnline(request) ? 0 : this->queue.queuedCopies(request.fingerprint, wire::WORK_CLASS_BATCH);
    return this->copiesInFlight(request.fingerprint) + this->queue.queuedCopies(request.fingerprint, wire::WORK_CLASS_ONLINE) + queuedBatch < maxCopies;
}

std::size_t SlotPool::copiesInFlight(std::uint64_t fingerprint) const
{
    const auto found = this->runningCopies.find(fingerprint);
    return found == this->runningCopies.end() ? 0 : found->second;
}

void SlotPool::grant(PoolRequest request, const UpstreamLoad::Choice &choice, bool isolated, absl::Time now)
{
    const GrantId id = request.id;
    Grant grant;
    grant.request = std::move(request);
    grant.upstream = choice.upstream;
    grant.grantedAt = now;
    grant.lastReported = now;
    grant.tokensAt = now;
    grant.probe = choice.probe;
    grant.isolated = isolated;
    grant.longStream = isOnline(grant.request) && this->demand.expectedLong(grant.request.expectedTokens);
    this->insertGrant(std::move(grant), now);
    ++this->grantCount;
    this->pendingActions.emplace_back(SlotGranted{id, choice.upstream, choice.address});
}

void SlotPool::insertGrant(Grant grant, absl::Time now)
{
    this->load.add(grant.upstream, grant.probe, now);
    if (grant.isolated) {
        this->load.setIsolated(grant.upstream, true);
    }
    if (grant.request.fingerprint != 0) {
        ++this->runningCopies[grant.request.fingerprint];
    }
    this->onlineInFlight += isOnline(grant.request) ? 1 : 0;
    this->longStreamsInFlight += grant.longStream ? 1 : 0;
    GrantId id = grant.request.id;
    this->grants.emplace(std::move(id), std::move(grant));
}

void SlotPool::endGrant(const GrantId &id, absl::Time now)
{
    const auto found = this->grants.find(id);
    const Grant ending = std::move(found->second);
    this->grants.erase(found);
    if (ending.isolated) {
        this->load.setIsolated(ending.upstream, false);
    }
    this->load.remove(ending.upstream, ending.probe);
    const auto copy = this->runningCopies.find(ending.request.fingerprint);
    if (copy != this->runningCopies.end() && --copy->second == 0) {
        this->runningCopies.erase(copy);
    }
    this->onlineInFlight -= isOnline(ending.request) ? 1 : 0;
    this->longStreamsInFlight -= ending.longStream ? 1 : 0;
    this->unblockCopies(ending.request.fingerprint, now);
}

SlotActions SlotPool::release(const GrantId &id, const GrantOutcome &outcome, absl::Time now)
{
    const auto held = this->grants.find(id);
    if (held != this->grants.end()) {
        const Grant ending = held->second;
        if (outcome.result == wire::SLOT_RESULT_UPSTREAM_DIED) {
            this->onUpstreamCrash(ending, now);
        }
        this->recordOutcome(ending, outcome, now);
        this->endGrant(id, now);
    } else if (this->queue.contains(id)) {
        this->dropWaiting(id, now);
    }
    this->rememberEnded(id);
    return this->dispatchAndTakeActions(now);
}

void SlotPool::recordOutcome(const Grant &grant, const GrantOutcome &outcome, absl::Time now)
{
    if (outcome.result == wire::SLOT_RESULT_FAILED) {
        this->load.latency().recordFailure(grant.upstream, now);
    } else if (outcome.result == wire::SLOT_RESULT_COMPLETED) {
        this->load.latency().record(grant.upstream, outcome.firstToken, outcome.betweenTokens, now);
        if (isOnline(grant.request)) {
            this->demand.onServed(now - grant.grantedAt, outcome.tokens);
        }
        if (grant.isolated && this->crashQuarantine.clear(grant.request.fingerprint)) {
            this->pendingActions.emplace_back(SuspectChanged{grant.request.fingerprint});
            this->onCrashCountChanged(SuspectChanged{grant.request.fingerprint}, now);
        }
    } else if (outcome.result == wire::SLOT_RESULT_CANCELLED) {
        this->load.latency().recordCancelled(grant.upstream, outcome.firstToken, outcome.betweenTokens, now);
    }
}

// Several hosts report the same crash, each for its own requests. Only the first report counts.
void SlotPool::onUpstreamCrash(const Grant &grant, absl::Time now)
{
    if (grant.crashCounted) {
        return;
    }
    std::vector<std::pair<std::uint64_t, absl::Time>> inFlight;
    for (auto &[id, other] : this->grants) {
        if (other.upstream == grant.upstream && !other.crashCounted) {
            other.crashCounted = true;
            inFlight.emplace_back(other.request.fingerprint, other.grantedAt);
        }
    }
    std::sort(inFlight.begin(), inFlight.end());
    this->load.latency().recordCrash(grant.upstream, now);
    for (const auto &[fingerprint, started] : inFlight) {
        if (this->crashQuarantine.recordCrash(fingerprint, grant.upstream, started, now).has_value()) {
            const CrashCount count = this->crashQuarantine.count(fingerprint);
            this->pendingActions.emplace_back(count);
            this->onCrashCountChanged(count, now);
        }
    }
}

void SlotPool::onCrashCountChanged(const CrashCount &count, absl::Time now)
{
    // Stops running batch copies of the suspect, which share their upstreams with other requests, before they crash
    // those upstreams too.
    for (auto &[id, grant] : this->grants) {
        const bool sharesUpstream = !grant.crashCounted && !grant.isolated;
        if (count.crashes > 0 && sharesUpstream && grant.request.fingerprint == count.fingerprint && !isOnline(grant.request)) {
            this->revoke(grant, now);
        }
    }
    this->updateWaitingCopies(count.fingerprint, now);
}

void SlotPool::rememberEnded(const GrantId &id)
{
    if (!this->endedIds.insert(id).second) {
        return;
    }
    this->endedIdOrder.push_back(id);
    if (this->endedIdOrder.size() > maxEndedIds) {
        this->endedIds.erase(this->endedIdOrder.front());
        this->endedIdOrder.pop_front();
    }
}

SlotActions SlotPool::updateHeldSlots(const std::string &host, const std::vector<HeldGrant> &held, absl::Time now)
{
    for (const HeldGrant &slot : held) {
        this->updateOrAddGrant({host, slot.number}, slot, now);
    }
    return this->dispatchAndTakeActions(now);
}

void SlotPool::updateOrAddGrant(const GrantId &id, const HeldGrant &held, absl::Time now)
{
    const auto known = this->grants.find(id);
    if (known != this->grants.end()) {
        known->second.lastReported = now;
        this->updateTokens(known->second, held.tokens, now);
        return;
    }
    if (this->endedIds.contains(id) || this->grants.size() >= maxGrants) {
        return;
    }
    if (this->queue.contains(id)) {
        this->dropWaiting(id, now);
    }
    Grant added;
    added.request.id = id;
    added.request.workClass = held.workClass;
    added.request.organisation = held.organisation;
    added.request.fingerprint = held.fingerprint;
    added.upstream = held.upstream;
    added.grantedAt = now;
    added.lastReported = now;
    added.tokens = held.tokens;
    added.tokensAt = now;
    added.longStream = isOnline(added.request) && this->demand.runningLong(held.tokens);
    added.isolated = this->crashQuarantine.mustRunAlone(held.fingerprint, now);
    this->insertGrant(std::move(added), now);
}

void SlotPool::updateTokens(Grant &grant, std::uint32_t tokens, absl::Time now)
{
    if (tokens <= grant.tokens) {
        return;
    }
    // The progress of running streams shows a slowdown before their ends do.
    const absl::Duration elapsed = now - grant.tokensAt;
    if (grant.tokens > 0 && elapsed >= minProgressInterval) {
        this->load.latency().record(grant.upstream, absl::ZeroDuration(), elapsed / static_cast<double>(tokens - grant.tokens), now);
    }
    grant.tokens = tokens;
    grant.tokensAt = now;
    if (isOnline(grant.request) && !grant.longStream && this->demand.runningLong(tokens)) {
        grant.longStream = true;
        ++this->longStreamsInFlight;
    }
}

SlotActions SlotPool::removeHost(const std::string &host, absl::Time now)
{
    for (const GrantId &id : this->queue.ofHost(host)) {
        this->dropWaiting(id, now);
    }
    std::vector<GrantId> hostGrants;
    for (const auto &[id, grant] : this->grants) {
        if (id.host == host) {
            hostGrants.push_back(id);
        }
    }
    for (const GrantId &id : hostGrants) {
        this->endGrant(id, now);
    }
    return this->dispatchAndTakeActions(now);
}

SlotActions SlotPool::mergeCrashCount(const CrashCount &count, absl::Time now)
{
    if (this->crashQuarantine.merge(count, now)) {
        this->onCrashCountChanged(count, now);
    }
    return this->dispatchAndTakeActions(now);
}

SlotActions SlotPool::tick(absl::Time now)
{
    this->expireWaiting(now);
    this->expireGrants(now);
    this->repeatRevocations(now);
    this->queue.prune();
    this->lastTick = now;
    return this->dispatchAndTakeActions(now);
}

void SlotPool::expireWaiting(absl::Time now)
{
    for (std::optional<GrantId> id = this->queue.expired(now); id.has_value(); id = this->queue.expired(now)) {
        this->dropWaiting(*id, now);
        this->deny(*id, SlotDenialCode::deadline, minRetryAfter);
    }
}

void SlotPool::expireGrants(absl::Time now)
{
    const bool paused = this->lastTick != absl::InfinitePast() && now - this->lastTick > minProcessPause;
    std::vector<GrantId> expired;
    for (auto &[id, grant] : this->grants) {
        if (paused) {
            grant.lastReported = now;
        } else if (now - grant.lastReported > grantLease) {
            expired.push_back(id);
        }
    }
    for (const GrantId &id : expired) {
        this->endGrant(id, now);
    }
}

void SlotPool::repeatRevocations(absl::Time now)
{
    for (auto &[id, grant] : this->grants) {
        if (grant.revokedAt != absl::InfinitePast() && now - grant.revokedAt >= revokeRepeatPeriod) {
            grant.revokedAt = now;
            this->pendingActions.emplace_back(SlotRevoked{id});
        }
    }
}

SlotActions SlotPool::dispatchAndTakeActions(absl::Time now)
{
    this->dispatch(now);
    return std::exchange(this->pendingActions, {});
}

void SlotPool::dispatch(absl::Time now)
{
    if (this->queue.empty()) {
        this->load.setDraining("");
        return;
    }
    if (!this->load.anyTakesWork()) {
        this->denyAllWithoutUpstream(now);
        return;
    }
    this->dispatchSuspect(now);
    this->denyUnableToComplete(now);
    this->dispatchOnline(now);
    this->revokeForCopies(now);
    this->revokeForOnline(now);
    this->dispatchBatch(now);
}

void SlotPool::denyAllWithoutUpstream(absl::Time now)
{
    for (const GrantId &id : this->queue.all()) {
        this->dropWaiting(id, now);
        this->deny(id, SlotDenialCode::noUpstream, overloadedRetryAfter);
    }
}

std::optional<GrantId> SlotPool::nextSuspect(absl::Time now) const
{
    for (const auto &[key, id] : this->queue.suspects()) {
        // A batch suspect occupies a whole upstream, so waiting online requests go first.
        if (key.first == wire::WORK_CLASS_BATCH && this->queue.queued(wire::WORK_CLASS_ONLINE).size() > 0) {
            return std::nullopt;
        }
        if (this->crashQuarantine.mayRetry(this->queue.request(id).fingerprint, now)) {
            return id;
        }
    }
    return std::nullopt;
}

// Returns whether a suspect is running, including requests that became suspects after they started. If @p revokeBatch
// is set, also revokes the grants of those that are batch requests.
bool SlotPool::checkRunningSuspects(bool revokeBatch, absl::Time now)
{
    bool running = false;
    for (auto &[id, grant] : this->grants) {
        if (grant.isolated || this->crashQuarantine.mustRunAlone(grant.request.fingerprint, now)) {
            running = true;
            if (revokeBatch && !isOnline(grant.request)) {
                this->revoke(grant, now);
            }
        }
    }
    return running;
}

void SlotPool::dispatchSuspect(absl::Time now)
{
    const std::optional<GrantId> next = this->nextSuspect(now);
    if (!next.has_value() || this->checkRunningSuspects(isOnline(this->queue.request(*next)), now)) {
        this->load.setDraining("");
        return;
    }
    const std::optional<UpstreamLoad::Choice> idle = this->load.chooseIdle(this->queue.request(*next).workClass, now);
    if (idle.has_value()) {
        this->load.setDraining("");
        this->grant(this->queue.remove(*next), *idle, true, now);
        return;
    }
    const std::optional<std::string> target = this->load.chooseToDrain();
    this->load.setDraining(target.value_or(""));
    for (auto &[id, grant] : this->grants) {
        if (target.has_value() && grant.upstream == *target && !isOnline(grant.request)) {
            this->revoke(grant, now);
        }
    }
}

std::int64_t SlotPool::longStreamLimit() const
{
    return std::max<std::int64_t>(1, static_cast<std::int64_t>(longStreamShare * static_cast<double>(this->load.usableSlots())));
}

bool SlotPool::longStreamAllowed() const
{
    return static_cast<std::int64_t>(this->longStreamsInFlight) < this->longStreamLimit();
}

void SlotPool::dispatchOnline(absl::Time now)
{
    while (this->queue.queued(wire::WORK_CLASS_ONLINE).size() > 0 && this->load.hasRoom(wire::WORK_CLASS_ONLINE, now)) {
        std::optional<UpstreamLoad::Choice> choice;
        FairQueue::Filter filter;
        filter.longLane = this->longStreamAllowed();
        filter.accept = [&](const GrantId &id) {
            const PoolRequest &request = this->queue.request(id);
            if (this->copiesInFlight(request.fingerprint) >= maxCopies) {
                return false;
            }
            choice = this->load.choose(wire::WORK_CLASS_ONLINE, request.excludedUpstreams, now);
            return choice.has_value();
        };
        std::optional<PoolRequest> request = this->queue.pop(wire::WORK_CLASS_ONLINE, filter, this->queueCost());
        if (!request.has_value()) {
            return;
        }
        this->grant(*std::move(request), *choice, false, now);
    }
}

SlotQueue::Cost SlotPool::queueCost() const
{
    return [this](const GrantId &id) { return costOf(this->queue.request(id)); };
}

bool SlotPool::batchAllowed(absl::Time now) const
{
    const std::int64_t reserve =
        this->demand.reserve(this->load.usableSlots(), static_cast<std::int64_t>(this->onlineInFlight), this->spec.online.reserveShare, now);
    return now >= this->batchBlockedUntil && this->load.freeSlots() > reserve;
}

void SlotPool::dispatchBatch(absl::Time now)
{
    while (this->queue.queued(wire::WORK_CLASS_BATCH).size() > 0 && this->load.hasRoom(wire::WORK_CLASS_BATCH, now)) {
        const bool probeOnly = !this->batchAllowed(now);
        std::optional<UpstreamLoad::Choice> choice;
        FairQueue::Filter filter;
        filter.rank = [now](absl::Time latestStart) { return laxityRank(latestStart - now); };
        filter.accept = [&](const GrantId &id) {
            const PoolRequest &request = this->queue.request(id);
            if (this->copiesInFlight(request.fingerprint) + this->queue.queuedCopies(request.fingerprint, wire::WORK_CLASS_ONLINE) >= maxCopies) {
                return false;
            }
            choice = probeOnly ? this->load.chooseProbe(wire::WORK_CLASS_BATCH, request.excludedUpstreams, now)
                               : this->load.choose(wire::WORK_CLASS_BATCH, request.excludedUpstreams, now);
            return choice.has_value();
        };
        std::optional<PoolRequest> request = this->queue.pop(wire::WORK_CLASS_BATCH, filter, this->queueCost());
        if (!request.has_value()) {
            return;
        }
        this->grant(*std::move(request), *choice, false, now);
    }
}

void SlotPool::revoke(Grant &grant, absl::Time now)
{
    if (grant.revokedAt == absl::InfinitePast()) {
        grant.revokedAt = now;
        ++this->revocationCount;
        this->pendingActions.emplace_back(SlotRevoked{grant.request.id});
    }
}

// Revokes the running batch copies of a blocked online request, so that the request can take their place.
void SlotPool::revokeForCopies(absl::Time now)
{
    if (this->queue.blockedCount() == 0) {
        return;
    }
    for (auto &[id, grant] : this->grants) {
        const std::optional<GrantId> blocked = this->queue.firstBlocked(grant.request.fingerprint);
        if (blocked.has_value() && isOnline(this->queue.request(*blocked)) && !isOnline(grant.request)) {
            this->revoke(grant, now);
        }
    }
}

void SlotPool::revokeForOnline(absl::Time now)
{
    const FairQueue &online = this->queue.queued(wire::WORK_CLASS_ONLINE);
    if (online.size() == 0) {
        return;
    }
    std::vector<Grant *> candidates = this->revocationCandidates(now);
    std::map<std::string, std::int64_t> excess;
    for (const Grant *grant : candidates) {
        excess.emplace(grant->upstream, this->load.excessRequests(grant->upstream));
    }
    std::int64_t longSlotsLeft = this->longStreamLimit() - static_cast<std::int64_t>(this->longStreamsInFlight);
    online.forEach(this->longStreamAllowed(), [&](const GrantId &id) {
        if (this->queue.lane(id) == FairQueue::Lane::Short || longSlotsLeft-- > 0) {
            this->revokeForRequest(this->queue.request(id), candidates, excess, now);
        }
        return !candidates.empty();
    });
}

// Batch grants in the order in which they are revoked: those already revoked, then those that lose the fewest tokens.
std::vector<SlotPool::Grant *> SlotPool::revocationCandidates(absl::Time now)
{
    std::vector<std::pair<double, Grant *>> costs;
    for (auto &[id, grant] : this->grants) {
        if (!isOnline(grant.request)) {
            costs.emplace_back(grant.revokedAt != absl::InfinitePast() ? -1.0 : this->lostTokens(grant, now), &grant);
        }
    }
    std::sort(costs.begin(), costs.end(), [](const auto &left, const auto &right) {
        return left.first != right.first ? left.first < right.first : left.second->request.id < right.second->request.id;
    });
    std::vector<Grant *> ordered;
    for (const auto &[cost, grant] : costs) {
        ordered.push_back(grant);
    }
    return ordered;
}

// Revokes the first batch grant whose slot the request can use. On an upstream with more requests than slots, a
// revocation only reduces the excess and frees no slot, so the next candidate is revoked as well.
void SlotPool::revokeForRequest(const PoolRequest &request, std::vector<Grant *> &candidates, std::map<std::string, std::int64_t> &excess, absl::Time now)
{
    auto candidate = candidates.begin();
    while (candidate != candidates.end()) {
        Grant &grant = **candidate;
        if (!this->load.canUseFreedSlot(grant.upstream, request.excludedUpstreams)) {
            ++candidate;
            continue;
        }
        this->revoke(grant, now);
        candidate = candidates.erase(candidate);
        std::int64_t &remainingExcess = excess.at(grant.upstream);
        if (remainingExcess == 0) {
            return;
        }
        --remainingExcess;
    }
}

// Estimates the tokens generated so far, including those since the last report.
double SlotPool::lostTokens(const Grant &grant, absl::Time now) const
{
    const double sinceReport = absl::FDivDuration(now - grant.tokensAt, this->spec.online.betweenTokens);
    return grant.tokens + std::max(0.0, sinceReport);
}

SlotPoolStatus SlotPool::status(absl::Time now) const
{
    SlotPoolStatus status;
    for (const auto &[name, entry] : this->load.entries()) {
        status.upstreams.push_back({name,
                                    entry.inFlight,
                                    entry.spec.slots,
                                    this->load.latency().score(name, now),
                                    this->load.latency().ejected(name),
                                    entry.spec.leaving || entry.removed,
                                    entry.isolated});
    }
    status.onlineInFlight = this->onlineInFlight;
    status.batchInFlight = this->grants.size() - this->onlineInFlight;
    status.onlineQueued = this->queue.queued(wire::WORK_CLASS_ONLINE).size();
    status.batchQueued = this->queue.queued(wire::WORK_CLASS_BATCH).size();
    status.suspectsQueued = this->queue.suspects().size();
    status.blockedCopies = this->queue.blockedCount();
    status.reserve = this->demand.reserve(this->load.usableSlots(), static_cast<std::int64_t>(this->onlineInFlight), this->spec.online.reserveShare, now);
    status.grants = this->grantCount;
    status.denials = this->denialCount;
    status.revocations = this->revocationCount;
    return status;
}

const CrashQuarantine &SlotPool::suspects() const
{
    return this->crashQuarantine;
}

std::set<std::string> SlotPool::hosts() const
{
    std::set<std::string> names = this->queue.hosts();
    for (const auto &[id, grant] : this->grants) {
        names.insert(id.host);
    }
    return names;
}

} // namespace Bergamotramp
