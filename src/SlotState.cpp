#include "SlotState.h"

#include <algorithm>
#include <cmath>

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include "RendezvousHash.h"
#include "SlotMessages.h"
#include "Transport.h"

namespace Bergamotramp {

namespace {

constexpr absl::Duration withdrawalCheckPeriod = absl::Milliseconds(100);
constexpr absl::Duration tickPeriod = absl::Milliseconds(100);
constexpr absl::Duration reportPeriod = absl::Seconds(1);
// A new holder learns which slots are held from the reports that all hosts send once a second. It grants no batch work before
// these have arrived.
constexpr absl::Duration takeoverDelay = absl::Milliseconds(1500);
// Waiting requests are sent again, so that a lost grant or a failed holder is noticed. Batch requests are sent less often:
// they can wait longer, and there are so many of them that they would otherwise exceed the bandwidth per host.
constexpr absl::Duration onlineRepeatPeriod = absl::Milliseconds(250);
constexpr absl::Duration batchRepeatPeriod = absl::Seconds(2);
// After a holder left a request unanswered, further requests are granted from this host's share at once for this long.
constexpr absl::Duration unresponsivePeriod = absl::Milliseconds(500);
// The slots of a host are freed when it is not live and has sent no message for this long.
constexpr absl::Duration silentHostTimeout = absl::Seconds(3);
constexpr absl::Duration maxWait = absl::Hours(1);
constexpr std::size_t maxWithdrawnRequests = 4096;
// The first request number is the start time in microseconds, shifted by this many bits. This leaves enough numbers for all
// requests of one run, so that two runs of a host never use the same number.
constexpr int requestNumberShift = 8;

void waitUntil(std::condition_variable &condition, std::unique_lock<std::mutex> &lock, absl::Time time)
{
    const absl::Duration left = std::clamp(time - absl::Now(), absl::ZeroDuration(), maxWait);
    condition.wait_for(lock, absl::ToChronoMicroseconds(left) + std::chrono::microseconds(1));
}

PoolRequest toPoolRequest(const std::string &host, std::uint64_t number, const SlotDemand &demand, absl::Time until)
{
    // An online request may wait here for less than its deadline, because another region is tried afterwards.
    const absl::Time due = demand.workClass == wire::WORK_CLASS_ONLINE ? demand.deadline : demand.due;
    return {{host, number}, demand.workClass, demand.organisation, until, demand.fingerprint, demand.expectedTokens, demand.excludedUpstreams, due};
}

bool isRetryableInOtherRegion(const SlotDenial &denial)
{
    return denial.code == SlotDenialCode::deadline || denial.code == SlotDenialCode::overloaded || denial.code == SlotDenialCode::noUpstream;
}

} // namespace

SlotService::State::Revocation::Revocation(std::function<void()> hook) : hook(std::move(hook))
{
}

void SlotService::State::Revocation::run()
{
    const std::lock_guard<std::recursive_mutex> lock(this->mutex);
    const std::function<void()> currentHook = std::exchange(this->hook, nullptr);
    if (currentHook) {
        currentHook();
    }
}

void SlotService::State::Revocation::disable()
{
    const std::lock_guard<std::recursive_mutex> lock(this->mutex);
    this->hook = nullptr;
}

SlotService::State::State(const HostContext &context)
    : context(context)
    , self(context.settings.name)
    , nextNumber(static_cast<std::uint64_t>(absl::ToUnixMicros(absl::Now())) << requestNumberShift)
    , baselineRouting(context.settings.routing, stableHash(context.settings.name))
    , random(static_cast<std::minstd_rand::result_type>(stableHash(this->nextNumber, context.settings.name)))
{
    this->refresh();
    this->timer = context.timers->every(tickPeriod, [this] { this->tick(); });
}

void SlotService::State::flush(Outbox &outbox)
{
    for (auto &[address, message] : outbox.messages) {
        this->context.transport->send(address, std::move(message));
    }
    for (const std::shared_ptr<Revocation> &revocation : outbox.revocations) {
        revocation->run();
    }
    outbox = Outbox();
}

void SlotService::State::flushUnlocked(Lock &lock, Outbox &outbox)
{
    if (!outbox.messages.empty() || !outbox.revocations.empty()) {
        lock.unlock();
        this->flush(outbox);
        lock.lock();
    }
}

void SlotService::State::enqueueMessage(Outbox &outbox, const std::string &host, wire::Envelope message)
{
    const std::string address = this->directory.peerAddress(host);
    if (!address.empty()) {
        outbox.messages.emplace_back(address, std::move(message));
    }
}

SlotService::State::Answer SlotService::State::acquire(const SlotDemand &demand, std::function<void()> revoked)
{
    const std::shared_ptr<const Catalogue> catalogue = this->context.catalogue();
    const ServiceSpec *spec = catalogue->find(demand.service);
    if (spec == nullptr) {
        return SlotDenial{"unknown_service", absl::ZeroDuration()};
    }
    const auto revocation = std::make_shared<Revocation>(std::move(revoked));
    return spec->kind == ServiceKind::Plain ? this->acquirePlain(demand, revocation) : this->acquireModel(demand, *spec, revocation);
}

// Requests a slot in this host's region first. When several regions have upstreams, an online request waits in each of them
// for at most the first-token objective of the service. After that it waits in the first region until its deadline.
SlotService::State::Answer SlotService::State::acquireModel(const SlotDemand &demand, const ServiceSpec &spec, const std::shared_ptr<Revocation> &revocation)
{
    const std::vector<std::string> regions = SlotDirectory::regionsOf(spec, this->context.settings.region);
    if (regions.empty()) {
        return SlotDenial{SlotDenialCode::noUpstream, absl::Seconds(1)};
    }
    Lock lock(this->mutex);
    if (this->context.settings.routing != RoutingMode::Pool) {
        return this->acquireBaseline(regions, demand, revocation);
    }
    if (demand.workClass == wire::WORK_CLASS_ONLINE && regions.size() > 1) {
        for (const std::string &region : regions) {
            const absl::Time until = std::min(demand.deadline, absl::Now() + spec.online.firstToken);
            Answer answer = this->requestSlot(lock, SlotDirectory::poolName(spec.name, region), demand, until, revocation);
            const SlotDenial *denial = std::get_if<SlotDenial>(&answer);
            if (denial == nullptr || !isRetryableInOtherRegion(*denial)) {
                return answer;
            }
        }
    }
    return this->requestSlot(lock, SlotDirectory::poolName(spec.name, regions.front()), demand, demand.deadline, revocation);
}

// Chooses an upstream by this host's own in-flight counts and leaves all queueing to the engines. These routing modes are
// baselines for measurements.
SlotService::State::Answer SlotService::State::acquireBaseline(const std::vector<std::string> &regions,
                                                               const SlotDemand &demand,
                                                               const std::shared_ptr<Revocation> &revocation)
{
    std::vector<LocalLoad> loads;
    std::vector<std::pair<std::string, UpstreamLoad::Choice>> choices;
    for (const std::string &region : regions) {
        const std::string poolName = SlotDirectory::poolName(demand.service, region);
        const auto pool = this->pools.find(poolName);
        if (pool == this->pools.end()) {
            continue;
        }
        for (const auto &[name, entry] : pool->second.localLoad.entries()) {
            if (!entry.spec.leaving && !entry.removed) {
                loads.push_back({name, entry.inFlight});
                choices.emplace_back(poolName, UpstreamLoad::Choice{name, entry.spec.address, false});
            }
        }
    }
    const std::optional<std::size_t> chosen = this->baselineRouting.choose(loads);
    if (!chosen) {
        return SlotDenial{SlotDenialCode::noUpstream, absl::Seconds(1)};
    }
    const auto &[poolName, choice] = choices[*chosen];
    return this->createTicket(poolName, this->pools.at(poolName), demand, choice, this->nextNumber++, "", revocation);
}

SlotService::State::Answer SlotService::State::requestSlot(
    Lock &lock, const std::string &poolName, const SlotDemand &demand, absl::Time until, const std::shared_ptr<Revocation> &revocation)
{
    while (true) {
        const auto pool = this->pools.find(poolName);
        if (pool == this->pools.end()) {
            return SlotDenial{SlotDenialCode::noUpstream, absl::Seconds(1)};
        }
        if (demand.workClass == wire::WORK_CLASS_ONLINE && this->crashQuarantines[demand.service].isQuarantined(demand.fingerprint, absl::Now())) {
            return SlotDenial{SlotDenialCode::quarantined, absl::ZeroDuration()};
        }
        std::optional<Answer> answer = this->requestSlotOnce(lock, pool->second, demand, until, revocation);
        if (answer.has_value()) {
            return *std::move(answer);
        }
    }
}

// Returns nothing when the holder changed, or when it did not answer and this host's share has no slot for the request.
std::optional<SlotService::State::Answer> SlotService::State::requestSlotOnce(
    Lock &lock, Pool &pool, const SlotDemand &demand, absl::Time until, const std::shared_ptr<Revocation> &revocation)
{
    const std::string poolName = SlotDirectory::poolName(pool.service, pool.region);
    if (pool.holder.empty() || this->isUnresponsive(pool.holder, absl::Now())) {
        std::optional<Answer> localGrant = this->grantFromLocalShare(poolName, pool, demand, revocation);
        if (localGrant.has_value()) {
            return localGrant;
        }
    }
    const auto pending = std::make_shared<PendingRequest>();
    pending->demand = demand;
    pending->pool = poolName;
    pending->holder = pool.holder;
    pending->revocation = revocation;
    const std::uint64_t number = this->nextNumber++;
    this->pendingRequests.emplace(number, pending);
    this->sendRequest(lock, number, *pending, until);
    const WaitResult waitResult = this->waitForAnswer(lock, number, *pending, until);
    this->pendingRequests.erase(number);
    if (waitResult == WaitResult::Answered) {
        return pending->answer;
    }
    this->withdrawRequest(lock, number, *pending);
    if (waitResult == WaitResult::Expired) {
        return SlotDenial{SlotDenialCode::deadline, tickPeriod};
    }
    const auto current = this->pools.find(poolName);
    if (waitResult == WaitResult::HolderChanged || current == this->pools.end()) {
        return std::nullopt;
    }
    this->lastUnansweredAt[pending->holder] = absl::Now();
    return this->grantFromLocalShare(poolName, current->second, demand, revocation);
}

void SlotService::State::sendRequest(Lock &lock, std::uint64_t number, const PendingRequest &pending, absl::Time until)
{
    const absl::Time now = absl::Now();
    const PoolRequest request = toPoolRequest(this->self, number, pending.demand, until);
    Outbox outbox;
    if (pending.holder == this->self) {
        this->applyActions(pending.pool, this->getOrCreateSlotPool(pending.pool, this->pools.at(pending.pool), now).request(request, now), outbox);
    } else {
        this->enqueueMessage(outbox, pending.holder, toMessage(pending.pool, request, now));
    }
    this->flushUnlocked(lock, outbox);
}

SlotService::State::WaitResult SlotService::State::waitForAnswer(Lock &lock, std::uint64_t number, PendingRequest &pending, absl::Time until)
{
    const bool holderIsSelf = pending.holder == this->self;
    const absl::Duration repeatPeriod = pending.demand.workClass == wire::WORK_CLASS_ONLINE ? onlineRepeatPeriod : batchRepeatPeriod;
    absl::Time sent = absl::Now();
    while (true) {
        if (pending.answer.has_value()) {
            return WaitResult::Answered;
        }
        const absl::Time now = absl::Now();
        const bool withdrawnByCaller = pending.demand.withdrawn && *pending.demand.withdrawn;
        if (now >= until || withdrawnByCaller) {
            return WaitResult::Expired;
        }
        if (pending.holderChanged) {
            return WaitResult::HolderChanged;
        }
        const absl::Time timeoutAt = holderIsSelf ? absl::InfiniteFuture() : sent + (pending.queued ? repeatPeriod : this->context.settings.slotReplyTimeout);
        if (now >= timeoutAt && !pending.queued) {
            return WaitResult::Unanswered;
        }
        if (now >= timeoutAt) {
            pending.queued = false;
            sent = now;
            this->sendRequest(lock, number, pending, until);
            continue;
        }
        // The withdrawn flag is polled. Without this bound, a withdrawn request would block its thread until a slot is free.
        waitUntil(pending.changed, lock, std::min({until, timeoutAt, now + withdrawalCheckPeriod}));
    }
}

void SlotService::State::withdrawRequest(Lock &lock, std::uint64_t number, const PendingRequest &pending)
{
    GrantOutcome cancelled;
    cancelled.result = wire::SLOT_RESULT_CANCELLED;
    Outbox outbox;
    SlotPool *pool = pending.holder == this->self ? this->findSlotPool(pending.pool) : nullptr;
    if (pool != nullptr) {
        this->applyActions(pending.pool, pool->release({this->self, number}, cancelled, absl::Now()), outbox);
    } else {
        this->enqueueMessage(outbox, pending.holder, toMessage(pending.pool, number, cancelled));
        this->withdrawnRequests.emplace_back(number, pending.pool);
        if (this->withdrawnRequests.size() > maxWithdrawnRequests) {
            this->withdrawnRequests.pop_front();
        }
    }
    this->flushUnlocked(lock, outbox);
}

bool SlotService::State::isUnresponsive(const std::string &host, absl::Time now) const
{
    const auto found = this->lastUnansweredAt.find(host);
    return found != this->lastUnansweredAt.end() && now - found->second < unresponsivePeriod;
}

// A request that is suspected of crashing upstreams gets no slot here: only the holder can ensure that it runs alone on an
// upstream.
std::optional<SlotService::State::Answer> SlotService::State::grantFromLocalShare(const std::string &poolName,
                                                                                  Pool &pool,
                                                                                  const SlotDemand &demand,
                                                                                  const std::shared_ptr<Revocation> &revocation)
{
    const absl::Time now = absl::Now();
    const bool batch = demand.workClass == wire::WORK_CLASS_BATCH;
    if (this->crashQuarantines[demand.service].mustRunAlone(demand.fingerprint, now) || this->localCopies(poolName, demand.fingerprint) >= SlotPool::maxCopies
        || (batch && !this->localBatchAllowed(pool))) {
        return std::nullopt;
    }
    const std::optional<UpstreamLoad::Choice> choice = pool.localLoad.choose(demand.workClass, demand.excludedUpstreams, now);
    if (!choice.has_value()) {
        return std::nullopt;
    }
    ++this->fallbackCount;
    return this->createTicket(poolName, pool, demand, *choice, this->nextNumber++, "", revocation);
}

SlotService::State::Answer SlotService::State::acquirePlain(const SlotDemand &demand, const std::shared_ptr<Revocation> &revocation)
{
    const std::string poolName = SlotDirectory::poolName(demand.service, "");
    const bool online = demand.workClass == wire::WORK_CLASS_ONLINE;
    Lock lock(this->mutex);
    while (true) {
        const auto pool = this->pools.find(poolName);
        if (pool == this->pools.end()) {
            return SlotDenial{SlotDenialCode::noUpstream, absl::Seconds(1)};
        }
        std::optional<Answer> answer = this->tryPlain(poolName, pool->second, demand, revocation);
        if (answer.has_value()) {
            return *std::move(answer);
        }
        const absl::Time now = absl::Now();
        if (now >= demand.deadline) {
            return SlotDenial{SlotDenialCode::deadline, tickPeriod};
        }
        const std::shared_ptr<std::condition_variable> slotFreed = pool->second.slotFreed;
        Outbox outbox;
        if (online) {
            this->revokeLocalBatch(poolName, outbox);
            ++pool->second.onlineWaiting;
        }
        this->flushUnlocked(lock, outbox);
        // The timeout covers events that no release signals: changed upstreams and due probes.
        waitUntil(*slotFreed, lock, std::min(demand.deadline, now + tickPeriod));
        const auto current = this->pools.find(poolName);
        if (online && current != this->pools.end()) {
            --current->second.onlineWaiting;
        }
    }
}

std::optional<SlotService::State::Answer> SlotService::State::tryPlain(const std::string &poolName,
                                                                       Pool &pool,
                                                                       const SlotDemand &demand,
                                                                       const std::shared_ptr<Revocation> &revocation)
{
    const absl::Time now = absl::Now();
    const CrashQuarantine &quarantine = this->crashQuarantines[demand.service];
    const bool batch = demand.workClass == wire::WORK_CLASS_BATCH;
    if (!batch && quarantine.isQuarantined(demand.fingerprint, now)) {
        return SlotDenial{SlotDenialCode::quarantined, absl::ZeroDuration()};
    }
    if (!pool.localLoad.anyTakesWork()) {
        return SlotDenial{SlotDenialCode::noUpstream, absl::Seconds(1)};
    }
    if ((batch && (pool.onlineWaiting > 0 || !quarantine.mayRetry(demand.fingerprint, now)))
        || (quarantine.mustRunAlone(demand.fingerprint, now) && this->suspectRunsLocally(poolName, now))) {
        return std::nullopt;
    }
    const std::optional<UpstreamLoad::Choice> choice = this->choosePlain(pool, demand, now);
    if (!choice.has_value()) {
        return std::nullopt;
    }
    return this->createTicket(poolName, pool, demand, *choice, this->nextNumber++, "", revocation);
}

// Batch work that leaves the reserve free may still probe. Without this, batch items would wait for ever if only they are left after all
// upstreams crashed, because crashed upstreams count as free only after a probe.
std::optional<UpstreamLoad::Choice> SlotService::State::choosePlain(const Pool &pool, const SlotDemand &demand, absl::Time now)
{
    if (demand.workClass == wire::WORK_CLASS_BATCH && !this->localBatchAllowed(pool)) {
        return pool.localLoad.chooseProbe(demand.workClass, demand.excludedUpstreams, now);
    }
    const std::uint64_t first = this->random();
    const std::uint64_t second = this->random();
    return pool.localLoad.chooseOfTwo(demand.workClass, demand.excludedUpstreams, first, second, now);
}

void SlotService::State::revokeLocalBatch(const std::string &poolName, Outbox &outbox)
{
    const Ticket *cheapest = nullptr;
    std::size_t revoking = 0;
    for (const auto &[number, ticket] : this->tickets) {
        if (ticket.pool != poolName || ticket.workClass != wire::WORK_CLASS_BATCH) {
            continue;
        }
        revoking += ticket.revoked ? 1 : 0;
        if (!ticket.revoked && (cheapest == nullptr || ticket.tokens < cheapest->tokens)) {
            cheapest = &ticket;
        }
    }
    if (cheapest != nullptr && revoking <= this->pools.at(poolName).onlineWaiting) {
        this->revokeTicket(cheapest->ticket.grant, outbox);
    }
}

bool SlotService::State::localBatchAllowed(const Pool &pool) const
{
    const ServiceSpec *spec = this->directory.catalogue()->find(pool.service);
    const double share = spec == nullptr ? 0.0 : spec->online.reserveShare;
    return pool.localLoad.freeSlots() > static_cast<std::int64_t>(std::floor(share * static_cast<double>(pool.localLoad.usableSlots())));
}

std::size_t SlotService::State::localCopies(const std::string &poolName, std::uint64_t fingerprint) const
{
    return static_cast<std::size_t>(std::count_if(this->tickets.begin(), this->tickets.end(), [&](const auto &item) {
        return fingerprint != 0 && item.second.fingerprint == fingerprint && item.second.pool == poolName;
    }));
}

bool SlotService::State::suspectRunsLocally(const std::string &poolName, absl::Time now)
{
    return std::any_of(this->tickets.begin(), this->tickets.end(), [&](const auto &item) {
        return item.second.pool == poolName && this->crashQuarantines[item.second.ticket.service].mustRunAlone(item.second.fingerprint, now);
    });
}

SlotTicket SlotService::State::createTicket(const std::string &poolName,
                                            Pool &pool,
                                            const SlotDemand &demand,
                                            const UpstreamLoad::Choice &choice,
                                            std::uint64_t number,
                                            const std::string &holder,
                                            const std::shared_ptr<Revocation> &revocation)
{
    Ticket ticket;
    ticket.ticket = {number, demand.service, choice.upstream, choice.address, holder.empty() && !pool.region.empty()};
    ticket.pool = poolName;
    ticket.holder = holder;
    ticket.workClass = demand.workClass;
    ticket.fingerprint = demand.fingerprint;
    ticket.organisation = demand.organisation;
    ticket.startedAt = absl::Now();
    ticket.probe = choice.probe;
    ticket.revocation = revocation;
    pool.localLoad.add(choice.upstream, choice.probe, absl::Now());
    SlotTicket slotTicket = ticket.ticket;
    this->tickets.emplace(number, std::move(ticket));
    return slotTicket;
}

void SlotService::State::release(const SlotTicket &slotTicket, const GrantOutcome &outcome)
{
    Lock lock(this->mutex);
    const auto found = this->tickets.find(slotTicket.grant);
    if (found == this->tickets.end()) {
        return;
    }
    const Ticket ticket = std::move(found->second);
    this->tickets.erase(found);
    Outbox outbox;
    const auto pool = this->pools.find(ticket.pool);
    if (pool != this->pools.end()) {
        this->recordOutcome(pool->second, ticket, outcome, outbox);
        pool->second.slotFreed->notify_all();
        if (!pool->second.region.empty()) {
            this->notifyHoldersOfRelease(pool->second, ticket, outcome, outbox);
        }
        if (outcome.result == wire::SLOT_RESULT_UPSTREAM_DIED) {
            this->recordLocalCrash(ticket, outbox);
        }
    }
    lock.unlock();
    ticket.revocation->disable();
    this->flush(outbox);
}

void SlotService::State::recordOutcome(Pool &pool, const Ticket &ticket, const GrantOutcome &outcome, Outbox &outbox)
{
    const absl::Time now = absl::Now();
    const std::string &upstream = ticket.ticket.upstream;
    if (outcome.result == wire::SLOT_RESULT_UPSTREAM_DIED) {
        pool.localLoad.latency().recordCrash(upstream, now);
    } else if (outcome.result == wire::SLOT_RESULT_FAILED) {
        pool.localLoad.latency().recordFailure(upstream, now);
    } else if (outcome.result == wire::SLOT_RESULT_CANCELLED) {
        pool.localLoad.latency().recordCancelled(upstream, outcome.firstToken, outcome.betweenTokens, now);
    } else {
        pool.localLoad.latency().record(upstream, outcome.firstToken, outcome.betweenTokens, now);
    }
    if (pool.region.empty() && outcome.result == wire::SLOT_RESULT_COMPLETED && this->crashQuarantines[pool.service].clear(ticket.fingerprint)) {
        this->broadcastCrashCount(pool.service, CrashCount{ticket.fingerprint}, outbox);
    }
    pool.localLoad.remove(upstream, ticket.probe);
}

// Each host counts the crashes that its own requests see, because the holder may not know the grant: it does not know a slot from a host's
// share until that is reported, and a holder may be lost with its upstream. A crash that several hosts count is still one, see
// CrashQuarantine::merge().
void SlotService::State::recordLocalCrash(const Ticket &ticket, Outbox &outbox)
{
    const std::string &service = ticket.ticket.service;
    CrashQuarantine &quarantine = this->crashQuarantines[service];
    if (quarantine.recordCrash(ticket.fingerprint, ticket.ticket.upstream, ticket.startedAt, absl::Now()).has_value()) {
        this->broadcastCrashCount(service, quarantine.count(ticket.fingerprint), outbox);
    }
}

void SlotService::State::mergeCrashCount(const std::string &service, const CrashCount &count, Outbox &outbox)
{
    const absl::Time now = absl::Now();
    this->crashQuarantines[service].merge(count, now);
    for (auto &[name, pool] : this->pools) {
        if (pool.service == service && pool.slotPool != nullptr) {
            this->applyActions(name, pool.slotPool->mergeCrashCount(count, now), outbox);
        }
    }
}

void SlotService::State::broadcastCrashCount(const std::string &service, const CrashCount &count, Outbox &outbox)
{
    this->mergeCrashCount(service, count, outbox);
    for (const HostInfo &host : this->directory.hosts()) {
        if (host.name != this->self) {
            this->enqueueMessage(outbox, host.name, toMessage(service, count));
        }
    }
}

// Crash counts are broadcast only once. A host that joins later would otherwise run a quarantined request again and, as the
// new holder of a pool, let it crash further upstreams. One host sends it the counts, chosen per service by rendezvous hashing.
void SlotService::State::sendCrashCountsToJoinedHosts(absl::Time now, Outbox &outbox)
{
    for (const std::string &joined : this->joinedHosts.takeDue(now)) {
        std::vector<std::string> others;
        for (const HostInfo &host : this->directory.hosts()) {
            if (host.name != joined) {
                others.push_back(host.name);
            }
        }
        for (const auto &[service, quarantine] : this->crashQuarantines) {
            if (joined == this->self || rendezvousPick(absl::StrCat("suspects/", service), others) != this->self) {
                continue;
            }
            for (const CrashCount &count : quarantine.list()) {
                this->enqueueMessage(outbox, joined, toMessage(service, count));
            }
        }
    }
}

// Notifies the granting holder and the current one. The holder may have changed since the grant; the new one knows of the slot
// from the reports.
void SlotService::State::notifyHoldersOfRelease(const Pool &pool, const Ticket &ticket, const GrantOutcome &outcome, Outbox &outbox)
{
    std::vector<std::string> holders{pool.holder};
    if (!ticket.holder.empty() && ticket.holder != pool.holder) {
        holders.push_back(ticket.holder);
    }
    for (const std::string &holder : holders) {
        SlotPool *held = holder == this->self ? this->findSlotPool(ticket.pool) : nullptr;
        if (held != nullptr) {
            this->applyActions(ticket.pool, held->release({this->self, ticket.ticket.grant}, outcome, absl::Now()), outbox);
        } else if (holder != this->self) {
            this->enqueueMessage(outbox, holder, toMessage(ticket.pool, ticket.ticket.grant, outcome));
        }
    }
}

void SlotService::State::progress(const SlotTicket &slotTicket, std::uint32_t tokens)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    const auto found = this->tickets.find(slotTicket.grant);
    if (found != this->tickets.end()) {
        found->second.tokens = tokens;
    }
}

void SlotService::State::applyActions(const std::string &poolName, const SlotActions &actions, Outbox &outbox)
{
    for (const SlotAction &action : actions) {
        if (const auto *granted = std::get_if<SlotGranted>(&action)) {
            this->applyGrant(poolName, *granted, outbox);
        } else if (const auto *denied = std::get_if<SlotDenied>(&action)) {
            if (denied->id.host == this->self) {
                this->setAnswer(denied->id.number, SlotDenial{denied->code, denied->retryAfter});
            } else {
                this->enqueueMessage(outbox, denied->id.host, toMessage(*denied));
            }
        } else if (const auto *revoked = std::get_if<SlotRevoked>(&action)) {
            if (revoked->id.host == this->self) {
                this->revokeTicket(revoked->id.number, outbox);
            } else {
                this->enqueueMessage(outbox, revoked->id.host, toMessage(poolName, *revoked));
            }
        } else if (const auto *changed = std::get_if<SuspectChanged>(&action)) {
            this->broadcastCrashCount(this->pools.at(poolName).service, *changed, outbox);
        }
    }
}

void SlotService::State::applyGrant(const std::string &poolName, const SlotGranted &granted, Outbox &outbox)
{
    if (granted.id.host != this->self) {
        this->enqueueMessage(outbox, granted.id.host, toMessage(granted));
        return;
    }
    const auto found = this->pendingRequests.find(granted.id.number);
    if (found != this->pendingRequests.end() && !found->second->answer.has_value()) {
        const PendingRequest &pending = *found->second;
        const UpstreamLoad::Choice choice{granted.upstream, granted.address, false};
        this->setAnswer(granted.id.number,
                        this->createTicket(poolName, this->pools.at(poolName), pending.demand, choice, granted.id.number, pending.holder, pending.revocation));
    }
}

void SlotService::State::setAnswer(std::uint64_t number, Answer answer)
{
    const auto found = this->pendingRequests.find(number);
    if (found != this->pendingRequests.end() && !found->second->answer.has_value()) {
        found->second->answer = std::move(answer);
        found->second->changed.notify_all();
    }
}

void SlotService::State::revokeTicket(std::uint64_t number, Outbox &outbox)
{
    const auto found = this->tickets.find(number);
    if (found != this->tickets.end() && !found->second.revoked) {
        found->second.revoked = true;
        outbox.revocations.push_back(found->second.revocation);
    }
}

SlotPool *SlotService::State::findSlotPool(const std::string &poolName)
{
    const auto found = this->pools.find(poolName);
    return found == this->pools.end() ? nullptr : found->second.slotPool.get();
}

SlotPool &SlotService::State::getOrCreateSlotPool(const std::string &poolName, Pool &pool, absl::Time now)
{
    if (pool.slotPool != nullptr) {
        return *pool.slotPool;
    }
    const ServiceSpec *spec = this->directory.catalogue()->find(pool.service);
    pool.slotPool = std::make_unique<SlotPool>(spec == nullptr ? ServiceSpec() : *spec);
    if (this->directory.hosts().size() > 1) {
        pool.slotPool->blockBatchUntil(now + takeoverDelay);
    }
    // A new pool has no requests, so these calls return no actions.
    pool.slotPool->configure(spec == nullptr ? ServiceSpec() : *spec, pool.upstreams, now);
    for (const CrashCount &count : this->crashQuarantines[pool.service].list()) {
        pool.slotPool->mergeCrashCount(count, now);
    }
    Outbox discarded;
    this->reportHeldSlots(poolName, pool, now, discarded);
    return *pool.slotPool;
}

void SlotService::State::handle(const wire::Envelope &envelope)
{
    const std::string &sender = envelope.from().name();
    Outbox outbox;
    {
        const Lock lock(this->mutex);
        this->lastMessageAt[sender] = absl::Now();
        this->lastUnansweredAt.erase(sender);
        if (envelope.has_slot_request()) {
            this->onRequest(sender, envelope.slot_request(), outbox);
        } else if (envelope.has_slot_reply()) {
            this->onReply(sender, envelope.slot_reply(), outbox);
        } else if (envelope.has_slot_release()) {
            this->onRelease(sender, envelope.slot_release(), outbox);
        } else if (envelope.has_slot_revoke()) {
            this->onRevoke(sender, envelope.slot_revoke(), outbox);
        } else if (envelope.has_held_slots()) {
            this->onHeldSlots(sender, envelope.held_slots(), outbox);
        } else if (envelope.has_suspect_notice()) {
            this->onSuspectNotice(envelope.suspect_notice(), outbox);
        }
    }
    this->flush(outbox);
}

// Serves a request even if this host is not the holder in its own view. After a change, the views of the hosts differ for a
// while, and the worst that two holders can do is to over-subscribe the upstreams.
void SlotService::State::onRequest(const std::string &sender, const wire::SlotRequest &message, Outbox &outbox)
{
    const absl::Time now = absl::Now();
    const PoolRequest request = fromMessage(sender, message, now);
    const auto pool = this->pools.find(message.service());
    if (pool == this->pools.end() || pool->second.region.empty()) {
        this->enqueueMessage(outbox, sender, toMessage(SlotDenied{request.id, SlotDenialCode::noUpstream, absl::Seconds(1)}));
        return;
    }
    const SlotActions actions = this->getOrCreateSlotPool(pool->first, pool->second, now).request(request, now);
    const bool answered = std::any_of(actions.begin(), actions.end(), [&request](const SlotAction &action) {
        const auto *granted = std::get_if<SlotGranted>(&action);
        const auto *denied = std::get_if<SlotDenied>(&action);
        return (granted != nullptr && granted->id == request.id) || (denied != nullptr && denied->id == request.id);
    });
    if (!answered) {
        this->enqueueMessage(outbox, sender, queuedMessage(request.id));
    }
    this->applyActions(pool->first, actions, outbox);
}

void SlotService::State::onReply(const std::string &sender, const wire::SlotReply &message, Outbox &outbox)
{
    const auto found = this->pendingRequests.find(message.grant());
    if (found != this->pendingRequests.end()) {
        PendingRequest &pending = *found->second;
        if (message.granted()) {
            this->applyGrant(pending.pool, {{this->self, message.grant()}, message.upstream(), message.address()}, outbox);
        } else if (message.denial_code() == queuedCode) {
            pending.queued = true;
            pending.changed.notify_all();
        } else {
            this->setAnswer(message.grant(), SlotDenial{message.denial_code(), absl::Microseconds(message.retry_after_us())});
        }
        return;
    }
    // Returns the grant of a withdrawn request, because the withdrawal message may have been lost.
    const auto lateGrant =
        std::find_if(this->withdrawnRequests.begin(), this->withdrawnRequests.end(), [&message](const auto &entry) { return entry.first == message.grant(); });
    if (message.granted() && lateGrant != this->withdrawnRequests.end()) {
        GrantOutcome cancelled;
        cancelled.result = wire::SLOT_RESULT_CANCELLED;
        this->enqueueMessage(outbox, sender, toMessage(lateGrant->second, message.grant(), cancelled));
    }
}

void SlotService::State::onRelease(const std::string &sender, const wire::SlotRelease &message, Outbox &outbox)
{
    SlotPool *pool = this->findSlotPool(message.service());
    if (pool != nullptr) {
        this->applyActions(message.service(), pool->release({sender, message.grant()}, fromMessage(message), absl::Now()), outbox);
    }
}

void SlotService::State::onRevoke(const std::string &sender, const wire::SlotRevoke &message, Outbox &outbox)
{
    if (this->tickets.contains(message.grant())) {
        this->revokeTicket(message.grant(), outbox);
    } else if (!this->pendingRequests.contains(message.grant())) {
        GrantOutcome cancelled;
        cancelled.result = wire::SLOT_RESULT_CANCELLED;
        this->enqueueMessage(outbox, sender, toMessage(message.service(), message.grant(), cancelled));
    }
}

void SlotService::State::onHeldSlots(const std::string &sender, const wire::HeldSlots &message, Outbox &outbox)
{
    const absl::Time now = absl::Now();
    const auto pool = this->pools.find(message.service());
    if (pool != this->pools.end() && !pool->second.region.empty()) {
        this->applyActions(pool->first, this->getOrCreateSlotPool(pool->first, pool->second, now).updateHeldSlots(sender, fromMessage(message), now), outbox);
    }
}

void SlotService::State::onSuspectNotice(const wire::SuspectNotice &message, Outbox &outbox)
{
    if (this->directory.catalogue()->find(message.service()) != nullptr) {
        this->mergeCrashCount(message.service(), fromMessage(message), outbox);
    }
}

void SlotService::State::tick()
{
    this->refresh();
    const absl::Time now = absl::Now();
    Outbox outbox;
    {
        const Lock lock(this->mutex);
        this->sendCrashCountsToJoinedHosts(now, outbox);
        const bool reportDue = now - this->lastReport >= reportPeriod;
        for (auto &[name, pool] : this->pools) {
            this->tickPool(name, pool, now, outbox);
            if (reportDue) {
                this->reportHeldSlots(name, pool, now, outbox);
            }
        }
        if (reportDue) {
            this->lastReport = now;
            std::erase_if(this->lastMessageAt, [&](const auto &item) { return !this->directory.isLive(item.first) && now - item.second > absl::Minutes(1); });
            std::erase_if(this->lastUnansweredAt, [&](const auto &item) { return now - item.second > unresponsivePeriod; });
        }
    }
    this->flush(outbox);
}

void SlotService::State::tickPool(const std::string &poolName, Pool &pool, absl::Time now, Outbox &outbox)
{
    if (pool.slotPool == nullptr) {
        return;
    }
    this->applyActions(poolName, pool.slotPool->tick(now), outbox);
    const std::set<std::string> hostsWithRequests = pool.slotPool->hosts();
    for (const std::string &host : hostsWithRequests) {
        const auto messageAt = this->lastMessageAt.find(host);
        const bool silent = messageAt == this->lastMessageAt.end() || now - messageAt->second > silentHostTimeout;
        if (host != this->self && silent && !this->directory.isLive(host)) {
            this->applyActions(poolName, pool.slotPool->removeHost(host, now), outbox);
        }
    }
    if (hostsWithRequests.empty() && pool.holder != this->self) {
        pool.slotPool.reset();
    }
}

void SlotService::State::refresh()
{
    const std::vector<HostInfo> live = this->context.liveHosts();
    const std::shared_ptr<const Catalogue> catalogue = this->context.catalogue();
    Outbox outbox;
    {
        const Lock lock(this->mutex);
        if (this->directory.update(live, catalogue)) {
            this->joinedHosts.update(live, absl::Now());
            this->configure(absl::Now(), outbox);
        }
    }
    this->flush(outbox);
}

void SlotService::State::configure(absl::Time now, Outbox &outbox)
{
    for (auto &[name, pool] : this->pools) {
        pool.upstreams.clear();
    }
    for (const ServiceSpec &spec : this->directory.catalogue()->services) {
        const std::vector<std::string> regions = SlotDirectory::regionsOf(spec, this->context.settings.region);
        if (spec.kind == ServiceKind::Plain) {
            this->configurePool(spec, "", now, outbox);
            continue;
        }
        for (const std::string &region : regions) {
            this->configurePool(spec, region, now, outbox);
        }
    }
    // Pools that are no longer in the catalogue are kept until their slots are released.
    std::vector<std::string> unusedPools;
    for (auto &[name, pool] : this->pools) {
        if (!pool.upstreams.empty()) {
            continue;
        }
        pool.localLoad.setUpstreams({});
        if (pool.slotPool != nullptr) {
            const ServiceSpec *spec = this->directory.catalogue()->find(pool.service);
            this->applyActions(name, pool.slotPool->configure(spec == nullptr ? ServiceSpec() : *spec, {}, now), outbox);
        }
        const bool hasPendingRequest =
            std::any_of(this->pendingRequests.begin(), this->pendingRequests.end(), [&name = name](const auto &item) { return item.second->pool == name; });
        if (!hasPendingRequest && pool.localLoad.entries().empty() && pool.onlineWaiting == 0 && (pool.slotPool == nullptr || pool.slotPool->hosts().empty())) {
            unusedPools.push_back(name);
        }
    }
    for (const std::string &name : unusedPools) {
        this->pools.erase(name);
    }
    std::erase_if(this->crashQuarantines, [this](const auto &item) { return this->directory.catalogue()->find(item.first) == nullptr; });
}

void SlotService::State::configurePool(const ServiceSpec &spec, const std::string &region, absl::Time now, Outbox &outbox)
{
    const std::string name = SlotDirectory::poolName(spec.name, region);
    Pool &pool = this->pools[name];
    pool.service = spec.name;
    pool.region = region;
    // A plain service is called in this host's region as long as that region has upstreams.
    const std::vector<std::string> regions = SlotDirectory::regionsOf(spec, this->context.settings.region);
    const std::string selectedRegion = !region.empty() || regions.empty() ? region : regions.front();
    const bool anyRegion = region.empty() && selectedRegion != this->context.settings.region;
    for (const UpstreamSpec &upstream : spec.upstreams) {
        if (anyRegion || upstream.region == selectedRegion) {
            pool.upstreams.push_back({upstream.name, upstream.address, spec.slotsPerUpstream, upstream.leaving});
        }
    }
    const auto hosts = static_cast<std::int64_t>(std::max<std::size_t>(1, this->directory.hosts().size()));
    std::vector<PoolUpstream> share = pool.upstreams;
    for (PoolUpstream &upstream : share) {
        upstream.slots = std::max<std::int64_t>(1, upstream.slots / hosts);
    }
    pool.localLoad.setUpstreams(share);
    pool.slotFreed->notify_all();
    if (pool.slotPool != nullptr) {
        this->applyActions(name, pool.slotPool->configure(spec, pool.upstreams, now), outbox);
    }
    if (!region.empty()) {
        this->updateHolder(name, pool, now, outbox);
    }
}

void SlotService::State::updateHolder(const std::string &poolName, Pool &pool, absl::Time now, Outbox &outbox)
{
    const std::string newHolder = this->directory.holderOf(pool.service, pool.region);
    if (newHolder == pool.holder) {
        return;
    }
    pool.holder = newHolder;
    if (newHolder == this->self) {
        this->getOrCreateSlotPool(poolName, pool, now);
    } else {
        this->reportHeldSlots(poolName, pool, now, outbox);
    }
    for (auto &[number, pending] : this->pendingRequests) {
        if (pending->pool == poolName && pending->holder != newHolder) {
            pending->holderChanged = true;
            pending->changed.notify_all();
        }
    }
}

void SlotService::State::reportHeldSlots(const std::string &poolName, Pool &pool, absl::Time now, Outbox &outbox)
{
    if (pool.region.empty() || pool.localLoad.entries().empty()) {
        return;
    }
    std::vector<HeldGrant> held;
    for (const auto &[number, ticket] : this->tickets) {
        if (ticket.pool == poolName) {
            held.push_back({number, ticket.ticket.upstream, ticket.workClass, ticket.fingerprint, ticket.organisation, ticket.tokens});
        }
    }
    if (pool.holder == this->self && pool.slotPool != nullptr) {
        this->applyActions(poolName, pool.slotPool->updateHeldSlots(this->self, held, now), outbox);
    } else if (!held.empty() || pool.lastReportListedSlots) {
        this->enqueueMessage(outbox, pool.holder, toMessage(poolName, held));
    }
    pool.lastReportListedSlots = !held.empty();
}

nlohmann::json SlotService::State::poolStatus(const Pool &pool, absl::Time now)
{
    nlohmann::json json = {{"service", pool.service}, {"region", pool.region}, {"holder", pool.holder}};
    for (const auto &[name, entry] : pool.localLoad.entries()) {
        json["local"][name] = {{"in_flight", entry.inFlight}, {"share", entry.spec.slots}, {"score", pool.localLoad.latency().score(name, now)}};
    }
    if (pool.slotPool == nullptr) {
        return json;
    }
    const SlotPoolStatus status = pool.slotPool->status(now);
    for (const SlotPoolStatus::Upstream &upstream : status.upstreams) {
        json["upstreams"][upstream.name] = {{"in_flight", upstream.inFlight},
                                            {"slots", upstream.slots},
                                            {"score", upstream.score},
                                            {"ejected", upstream.ejected},
                                            {"leaving", upstream.leaving},
                                            {"isolated", upstream.isolated}};
    }
    json["in_flight"] = {{"online", status.onlineInFlight}, {"batch", status.batchInFlight}};
    json["queued"] = {{"online", status.onlineQueued}, {"batch", status.batchQueued}, {"copies", status.blockedCopies}, {"suspects", status.suspectsQueued}};
    json["reserve"] = status.reserve;
    json["counts"] = {{"granted", status.grants}, {"denied", status.denials}, {"revoked", status.revocations}};
    json["suspects"] = pool.slotPool->suspects().size();
    return json;
}

nlohmann::json SlotService::State::status() const
{
    const absl::Time now = absl::Now();
    const std::lock_guard<std::mutex> lock(this->mutex);
    nlohmann::json json = {
        {"pools", nlohmann::json::object()}, {"tickets", this->tickets.size()}, {"waiting", this->pendingRequests.size()}, {"fallbacks", this->fallbackCount}};
    for (const auto &[name, pool] : this->pools) {
        json["pools"][name] = State::poolStatus(pool, now);
    }
    return json;
}

std::map<std::string, SlotUsage> SlotService::State::usage() const
{
    const absl::Time now = absl::Now();
    const std::lock_guard<std::mutex> lock(this->mutex);
    std::map<std::string, SlotUsage> services;
    for (const auto &[name, pool] : this->pools) {
        SlotUsage &usage = services[pool.service];
        if (pool.slotPool == nullptr) {
            continue;
        }
        const SlotPoolStatus status = pool.slotPool->status(now);
        for (const SlotPoolStatus::Upstream &upstream : status.upstreams) {
            usage.total += upstream.slots;
        }
        usage.online += static_cast<std::int64_t>(status.onlineInFlight);
        usage.batch += static_cast<std::int64_t>(status.batchInFlight);
        usage.onlineQueued += static_cast<std::int64_t>(status.onlineQueued);
        usage.batchQueued += static_cast<std::int64_t>(status.batchQueued);
    }
    return services;
}

} // namespace Bergamotramp
