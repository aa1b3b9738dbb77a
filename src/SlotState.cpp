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
// A new holder first has to hear from the hosts, which report once a second, which slots are held.
constexpr absl::Duration takeoverDelay = absl::Milliseconds(1500);
// Waiting requests are repeated, so that a lost grant or a lost holder is noticed. Batch work has time, and its many
// waiting requests would otherwise exceed the bandwidth per host.
constexpr absl::Duration onlineRepeatPeriod = absl::Milliseconds(250);
constexpr absl::Duration batchRepeatPeriod = absl::Seconds(2);
// After an unanswered request, the next ones use the share at once for this long.
constexpr absl::Duration unresponsivePeriod = absl::Milliseconds(500);
// A host that is neither live nor heard of for this long is gone.
constexpr absl::Duration silentHostPeriod = absl::Seconds(3);
constexpr absl::Duration longestWait = absl::Hours(1);
constexpr std::size_t maxWithdrawn = 4096;
// Leaves room for all requests of a run, so that numbers of two runs of a host never meet.
constexpr int numberShift = 8;

void waitUntil(std::condition_variable &condition, std::unique_lock<std::mutex> &lock, absl::Time time)
{
    const absl::Duration left = std::clamp(time - absl::Now(), absl::ZeroDuration(), longestWait);
    condition.wait_for(lock, absl::ToChronoMicroseconds(left) + std::chrono::microseconds(1));
}

PoolRequest toPoolRequest(const std::string &host, std::uint64_t number, const SlotDemand &demand, absl::Time until)
{
    // An online request may wait for less than its deadline, when another region is asked afterwards.
    const absl::Time due = demand.workClass == wire::WORK_CLASS_ONLINE ? demand.deadline : demand.due;
    return {{host, number}, demand.workClass, demand.organisation, until, demand.fingerprint, demand.expectedTokens, demand.excludedUpstreams, due};
}

bool worthTryingElsewhere(const SlotDenial &denial)
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
    const std::function<void()> once = std::exchange(this->hook, nullptr);
    if (once) {
        once();
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
    , nextNumber(static_cast<std::uint64_t>(absl::ToUnixMicros(absl::Now())) << numberShift)
    , baseline(context.settings.routing, stableHash(context.settings.name))
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

void SlotService::State::post(Outbox &outbox, const std::string &host, wire::Envelope message)
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

// Asks the own region first. When another region has upstreams too, online requests give each region the time in which
// its answer still meets the objective; then they wait in their own region.
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
            Answer answer = this->ask(lock, SlotDirectory::poolName(spec.name, region), demand, until, revocation);
            const SlotDenial *denial = std::get_if<SlotDenial>(&answer);
            if (denial == nullptr || !worthTryingElsewhere(*denial)) {
                return answer;
            }
        }
    }
    return this->ask(lock, SlotDirectory::poolName(spec.name, regions.front()), demand, demand.deadline, revocation);
}

// Chooses by what this host sees and leaves all queueing to the engines; the baselines of measurements.
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
        for (const auto &[name, entry] : pool->second.local.entries()) {
            if (!entry.spec.leaving && !entry.removed) {
                loads.push_back({name, entry.inFlight});
                choices.emplace_back(poolName, UpstreamLoad::Choice{name, entry.spec.address, false});
            }
        }
    }
    const std::optional<std::size_t> chosen = this->baseline.choose(loads);
    if (!chosen) {
        return SlotDenial{SlotDenialCode::noUpstream, absl::Seconds(1)};
    }
    const auto &[poolName, choice] = choices[*chosen];
    return this->hold(poolName, this->pools.at(poolName), demand, choice, this->nextNumber++, "", revocation);
}

SlotService::State::Answer SlotService::State::ask(
    Lock &lock, const std::string &poolName, const SlotDemand &demand, absl::Time until, const std::shared_ptr<Revocation> &revocation)
{
    while (true) {
        const auto pool = this->pools.find(poolName);
        if (pool == this->pools.end()) {
            return SlotDenial{SlotDenialCode::noUpstream, absl::Seconds(1)};
        }
        if (this->suspects[demand.service].convicted(demand.fingerprint, absl::Now())) {
            return SlotDenial{SlotDenialCode::quarantined, absl::ZeroDuration()};
        }
        std::optional<Answer> answer = this->askOnce(lock, pool->second, demand, until, revocation);
        if (answer.has_value()) {
            return *std::move(answer);
        }
    }
}

// Returns nothing when the holder changed or did not answer and this host's share is used up.
std::optional<SlotService::State::Answer> SlotService::State::askOnce(
    Lock &lock, Pool &pool, const SlotDemand &demand, absl::Time until, const std::shared_ptr<Revocation> &revocation)
{
    const std::string poolName = SlotDirectory::poolName(pool.service, pool.region);
    if (pool.holder.empty() || this->unresponsive(pool.holder, absl::Now())) {
        std::optional<Answer> share = this->fallBack(poolName, pool, demand, revocation);
        if (share.has_value()) {
            return share;
        }
    }
    const auto ask = std::make_shared<Ask>();
    ask->demand = demand;
    ask->pool = poolName;
    ask->holder = pool.holder;
    ask->revocation = revocation;
    const std::uint64_t number = this->nextNumber++;
    this->asks.emplace(number, ask);
    this->sendAsk(lock, number, *ask, until);
    const AskEnd end = this->waitForAnswer(lock, number, *ask, until);
    this->asks.erase(number);
    if (end == AskEnd::Answered) {
        return ask->answer;
    }
    this->withdraw(lock, number, *ask);
    if (end == AskEnd::Expired) {
        return SlotDenial{SlotDenialCode::deadline, tickPeriod};
    }
    const auto again = this->pools.find(poolName);
    if (end == AskEnd::HolderChanged || again == this->pools.end()) {
        return std::nullopt;
    }
    this->lastUnanswered[ask->holder] = absl::Now();
    return this->fallBack(poolName, again->second, demand, revocation);
}

void SlotService::State::sendAsk(Lock &lock, std::uint64_t number, const Ask &ask, absl::Time until)
{
    const absl::Time now = absl::Now();
    const PoolRequest request = toPoolRequest(this->self, number, ask.demand, until);
    Outbox outbox;
    if (ask.holder == this->self) {
        this->apply(ask.pool, this->run(ask.pool, this->pools.at(ask.pool), now).request(request, now), outbox);
    } else {
        this->post(outbox, ask.holder, toMessage(ask.pool, request, now));
    }
    this->flushUnlocked(lock, outbox);
}

SlotService::State::AskEnd SlotService::State::waitForAnswer(Lock &lock, std::uint64_t number, Ask &ask, absl::Time until)
{
    const bool local = ask.holder == this->self;
    const absl::Duration repeatPeriod = ask.demand.workClass == wire::WORK_CLASS_ONLINE ? onlineRepeatPeriod : batchRepeatPeriod;
    absl::Time sent = absl::Now();
    while (true) {
        if (ask.answer.has_value()) {
            return AskEnd::Answered;
        }
        const absl::Time now = absl::Now();
        const bool unwanted = ask.demand.withdrawn && *ask.demand.withdrawn;
        if (now >= until || unwanted) {
            return AskEnd::Expired;
        }
        if (ask.holderChanged) {
            return AskEnd::HolderChanged;
        }
        const absl::Time limit = local ? absl::InfiniteFuture() : sent + (ask.queued ? repeatPeriod : this->context.settings.slotReplyTimeout);
        if (now >= limit && !ask.queued) {
            return AskEnd::Unanswered;
        }
        if (now >= limit) {
            ask.queued = false;
            sent = now;
            this->sendAsk(lock, number, ask, until);
            continue;
        }
        // Without the bound, a withdrawn request would hold its thread until a slot is free.
        waitUntil(ask.changed, lock, std::min({until, limit, now + withdrawalCheckPeriod}));
    }
}

void SlotService::State::withdraw(Lock &lock, std::uint64_t number, const Ask &ask)
{
    GrantOutcome cancelled;
    cancelled.result = wire::SLOT_RESULT_CANCELLED;
    Outbox outbox;
    SlotPool *pool = ask.holder == this->self ? this->running(ask.pool) : nullptr;
    if (pool != nullptr) {
        this->apply(ask.pool, pool->release({this->self, number}, cancelled, absl::Now()), outbox);
    } else {
        this->post(outbox, ask.holder, toMessage(ask.pool, number, cancelled));
        this->withdrawn.emplace_back(number, ask.pool);
        if (this->withdrawn.size() > maxWithdrawn) {
            this->withdrawn.pop_front();
        }
    }
    this->flushUnlocked(lock, outbox);
}

bool SlotService::State::unresponsive(const std::string &host, absl::Time now) const
{
    const auto found = this->lastUnanswered.find(host);
    return found != this->lastUnanswered.end() && now - found->second < unresponsivePeriod;
}

// A suspect needs the holder, because only the holder knows that it runs alone.
std::optional<SlotService::State::Answer> SlotService::State::fallBack(const std::string &poolName,
                                                                       Pool &pool,
                                                                       const SlotDemand &demand,
                                                                       const std::shared_ptr<Revocation> &revocation)
{
    const absl::Time now = absl::Now();
    const bool batch = demand.workClass == wire::WORK_CLASS_BATCH;
    if (this->suspects[demand.service].suspect(demand.fingerprint, now) || this->localCopies(poolName, demand.fingerprint) >= SlotPool::maxCopies
        || (batch && !this->localBatchAllowed(pool))) {
        return std::nullopt;
    }
    const std::optional<UpstreamLoad::Choice> choice = pool.local.choose(demand.workClass, demand.excludedUpstreams, now);
    if (!choice.has_value()) {
        return std::nullopt;
    }
    ++this->fallbacks;
    return this->hold(poolName, pool, demand, *choice, this->nextNumber++, "", revocation);
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
        const std::shared_ptr<std::condition_variable> freed = pool->second.freed;
        Outbox outbox;
        if (online) {
            this->revokeLocalBatch(poolName, outbox);
            ++pool->second.onlineWaiting;
        }
        this->flushUnlocked(lock, outbox);
        // Also wakes for what no release announces: changed upstreams and due probes.
        waitUntil(*freed, lock, std::min(demand.deadline, now + tickPeriod));
        const auto again = this->pools.find(poolName);
        if (online && again != this->pools.end()) {
            --again->second.onlineWaiting;
        }
    }
}

std::optional<SlotService::State::Answer> SlotService::State::tryPlain(const std::string &poolName,
                                                                       Pool &pool,
                                                                       const SlotDemand &demand,
                                                                       const std::shared_ptr<Revocation> &revocation)
{
    const absl::Time now = absl::Now();
    const CrashSuspects &known = this->suspects[demand.service];
    if (known.convicted(demand.fingerprint, now)) {
        return SlotDenial{SlotDenialCode::quarantined, absl::ZeroDuration()};
    }
    if (!pool.local.anyTakesWork()) {
        return SlotDenial{SlotDenialCode::noUpstream, absl::Seconds(1)};
    }
    const bool batch = demand.workClass == wire::WORK_CLASS_BATCH;
    if ((batch && (pool.onlineWaiting > 0 || !this->localBatchAllowed(pool)))
        || (known.suspect(demand.fingerprint, now) && this->localSuspectRuns(poolName, now))) {
        return std::nullopt;
    }
    const std::uint64_t first = this->random();
    const std::uint64_t second = this->random();
    const std::optional<UpstreamLoad::Choice> choice = pool.local.chooseOfTwo(demand.workClass, demand.excludedUpstreams, first, second, now);
    if (!choice.has_value()) {
        return std::nullopt;
    }
    return this->hold(poolName, pool, demand, *choice, this->nextNumber++, "", revocation);
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
    return pool.local.freeSlots() > static_cast<std::int64_t>(std::floor(share * static_cast<double>(pool.local.usableSlots())));
}

std::size_t SlotService::State::localCopies(const std::string &poolName, std::uint64_t fingerprint) const
{
    return static_cast<std::size_t>(std::count_if(this->tickets.begin(), this->tickets.end(), [&](const auto &item) {
        return fingerprint != 0 && item.second.fingerprint == fingerprint && item.second.pool == poolName;
    }));
}

bool SlotService::State::localSuspectRuns(const std::string &poolName, absl::Time now)
{
    return std::any_of(this->tickets.begin(), this->tickets.end(), [&](const auto &item) {
        return item.second.pool == poolName && this->suspects[item.second.ticket.service].suspect(item.second.fingerprint, now);
    });
}

SlotTicket SlotService::State::hold(const std::string &poolName,
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
    ticket.probe = choice.probe;
    ticket.revocation = revocation;
    pool.local.add(choice.upstream, choice.probe, absl::Now());
    SlotTicket given = ticket.ticket;
    this->tickets.emplace(number, std::move(ticket));
    return given;
}

void SlotService::State::release(const SlotTicket &given, const GrantOutcome &outcome)
{
    Lock lock(this->mutex);
    const auto found = this->tickets.find(given.grant);
    if (found == this->tickets.end()) {
        return;
    }
    const Ticket ticket = std::move(found->second);
    this->tickets.erase(found);
    Outbox outbox;
    const auto pool = this->pools.find(ticket.pool);
    if (pool != this->pools.end()) {
        this->observeLocally(pool->second, ticket, outcome, outbox);
        pool->second.freed->notify_all();
        if (!pool->second.region.empty()) {
            this->releaseToHolders(pool->second, ticket, outcome, outbox);
        }
    }
    lock.unlock();
    ticket.revocation->disable();
    this->flush(outbox);
}

void SlotService::State::observeLocally(Pool &pool, const Ticket &ticket, const GrantOutcome &outcome, Outbox &outbox)
{
    const absl::Time now = absl::Now();
    const std::string &upstream = ticket.ticket.upstream;
    if (outcome.result == wire::SLOT_RESULT_UPSTREAM_DIED) {
        pool.local.latency().recordDeath(upstream, now);
        // Only the holder can count the crash once for all hosts; without it, each host counts its own.
        if (pool.region.empty() || this->unresponsive(pool.holder, now)) {
            this->countLocalCrash(ticket, outbox);
        }
    } else if (outcome.result == wire::SLOT_RESULT_FAILED) {
        pool.local.latency().recordFailure(upstream, now);
    } else if (outcome.result == wire::SLOT_RESULT_CANCELLED) {
        pool.local.latency().recordCancelled(upstream, outcome.firstToken, outcome.betweenTokens, now);
    } else {
        pool.local.latency().record(upstream, outcome.firstToken, outcome.betweenTokens, now);
    }
    if (pool.region.empty() && outcome.result == wire::SLOT_RESULT_COMPLETED && this->suspects[pool.service].clear(ticket.fingerprint)) {
        this->announce(pool.service, {ticket.fingerprint, 0}, outbox);
    }
    pool.local.remove(upstream, ticket.probe);
}

void SlotService::State::countLocalCrash(const Ticket &ticket, Outbox &outbox)
{
    const std::string service = ticket.ticket.service;
    for (const auto &[fingerprint, crashes] : this->suspects[service].crashed({ticket.fingerprint}, absl::Now())) {
        this->announce(service, {fingerprint, crashes}, outbox);
    }
}

void SlotService::State::announce(const std::string &service, const SuspectChanged &changed, Outbox &outbox)
{
    this->suspects[service].merge(changed.fingerprint, changed.crashes, absl::Now());
    for (const HostInfo &host : this->directory.hosts()) {
        if (host.name != this->self) {
            this->post(outbox, host.name, toMessage(service, changed));
        }
    }
}

// Crash counts are announced once. A host that joins later would otherwise run a convicted request again, and as the new
// holder of a pool allow it to crash further upstreams. One host tells it, chosen per service.
void SlotService::State::informJoinedHosts(absl::Time now, Outbox &outbox)
{
    for (const std::string &joined : this->joins.takeDue(now)) {
        std::vector<std::string> others;
        for (const HostInfo &host : this->directory.hosts()) {
            if (host.name != joined) {
                others.push_back(host.name);
            }
        }
        for (const auto &[service, known] : this->suspects) {
            if (joined == this->self || rendezvousPick(absl::StrCat("suspects/", service), others) != this->self) {
                continue;
            }
            for (const auto &[fingerprint, crashes] : known.list()) {
                this->post(outbox, joined, toMessage(service, SuspectChanged{fingerprint, crashes}));
            }
        }
    }
}

// The holder may have changed since the grant; the new one knows the slot from the reports.
void SlotService::State::releaseToHolders(const Pool &pool, const Ticket &ticket, const GrantOutcome &outcome, Outbox &outbox)
{
    std::vector<std::string> holders{pool.holder};
    if (!ticket.holder.empty() && ticket.holder != pool.holder) {
        holders.push_back(ticket.holder);
    }
    for (const std::string &holder : holders) {
        SlotPool *held = holder == this->self ? this->running(ticket.pool) : nullptr;
        if (held != nullptr) {
            this->apply(ticket.pool, held->release({this->self, ticket.ticket.grant}, outcome, absl::Now()), outbox);
        } else if (holder != this->self) {
            this->post(outbox, holder, toMessage(ticket.pool, ticket.ticket.grant, outcome));
        }
    }
}

void SlotService::State::progress(const SlotTicket &given, std::uint32_t tokens)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    const auto found = this->tickets.find(given.grant);
    if (found != this->tickets.end()) {
        found->second.tokens = tokens;
    }
}

void SlotService::State::apply(const std::string &poolName, const SlotActions &actions, Outbox &outbox)
{
    for (const SlotAction &action : actions) {
        if (const auto *granted = std::get_if<SlotGranted>(&action)) {
            this->applyGrant(poolName, *granted, outbox);
        } else if (const auto *denied = std::get_if<SlotDenied>(&action)) {
            if (denied->id.host == this->self) {
                this->answer(denied->id.number, SlotDenial{denied->code, denied->retryAfter});
            } else {
                this->post(outbox, denied->id.host, toMessage(*denied));
            }
        } else if (const auto *revoked = std::get_if<SlotRevoked>(&action)) {
            if (revoked->id.host == this->self) {
                this->revokeTicket(revoked->id.number, outbox);
            } else {
                this->post(outbox, revoked->id.host, toMessage(poolName, *revoked));
            }
        } else if (const auto *changed = std::get_if<SuspectChanged>(&action)) {
            this->announce(this->pools.at(poolName).service, *changed, outbox);
        }
    }
}

void SlotService::State::applyGrant(const std::string &poolName, const SlotGranted &granted, Outbox &outbox)
{
    if (granted.id.host != this->self) {
        this->post(outbox, granted.id.host, toMessage(granted));
        return;
    }
    const auto found = this->asks.find(granted.id.number);
    if (found != this->asks.end() && !found->second->answer.has_value()) {
        const Ask &ask = *found->second;
        const UpstreamLoad::Choice choice{granted.upstream, granted.address, false};
        this->answer(granted.id.number, this->hold(poolName, this->pools.at(poolName), ask.demand, choice, granted.id.number, ask.holder, ask.revocation));
    }
}

void SlotService::State::answer(std::uint64_t number, Answer answer)
{
    const auto found = this->asks.find(number);
    if (found != this->asks.end() && !found->second->answer.has_value()) {
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

SlotPool *SlotService::State::running(const std::string &poolName)
{
    const auto found = this->pools.find(poolName);
    return found == this->pools.end() ? nullptr : found->second.run.get();
}

SlotPool &SlotService::State::run(const std::string &poolName, Pool &pool, absl::Time now)
{
    if (pool.run != nullptr) {
        return *pool.run;
    }
    const ServiceSpec *spec = this->directory.catalogue()->find(pool.service);
    pool.run = std::make_unique<SlotPool>(spec == nullptr ? ServiceSpec() : *spec);
    if (this->directory.hosts().size() > 1) {
        pool.run->holdBatchUntil(now + takeoverDelay);
    }
    // A new pool has no requests, so none of these calls causes an action.
    pool.run->configure(spec == nullptr ? ServiceSpec() : *spec, pool.upstreams, now);
    for (const auto &[fingerprint, crashes] : this->suspects[pool.service].list()) {
        pool.run->suspectNotice(fingerprint, crashes, now);
    }
    Outbox none;
    this->report(poolName, pool, now, none);
    return *pool.run;
}

void SlotService::State::handle(const wire::Envelope &envelope)
{
    const std::string &sender = envelope.from().name();
    Outbox outbox;
    {
        const Lock lock(this->mutex);
        this->lastHeard[sender] = absl::Now();
        this->lastUnanswered.erase(sender);
        if (envelope.has_slot_request()) {
            this->onRequest(sender, envelope.slot_request(), outbox);
        } else if (envelope.has_slot_reply()) {
            this->onReply(sender, envelope.slot_reply(), outbox);
        } else if (envelope.has_slot_release()) {
            this->onRelease(sender, envelope.slot_release(), outbox);
        } else if (envelope.has_slot_revoke()) {
            this->onRevoke(sender, envelope.slot_revoke(), outbox);
        } else if (envelope.has_held_slots()) {
            this->onHeld(sender, envelope.held_slots(), outbox);
        } else if (envelope.has_suspect_notice()) {
            this->onSuspect(envelope.suspect_notice(), outbox);
        }
    }
    this->flush(outbox);
}

// Serves a request even when this host does not see itself as the holder: the views of hosts differ for a while, and two
// holders only over-subscribe the upstreams.
void SlotService::State::onRequest(const std::string &sender, const wire::SlotRequest &message, Outbox &outbox)
{
    const absl::Time now = absl::Now();
    const PoolRequest request = fromMessage(sender, message, now);
    const auto pool = this->pools.find(message.service());
    if (pool == this->pools.end() || pool->second.region.empty()) {
        this->post(outbox, sender, toMessage(SlotDenied{request.id, SlotDenialCode::noUpstream, absl::Seconds(1)}));
        return;
    }
    const SlotActions actions = this->run(pool->first, pool->second, now).request(request, now);
    const bool answered = std::any_of(actions.begin(), actions.end(), [&request](const SlotAction &action) {
        const auto *granted = std::get_if<SlotGranted>(&action);
        const auto *denied = std::get_if<SlotDenied>(&action);
        return (granted != nullptr && granted->id == request.id) || (denied != nullptr && denied->id == request.id);
    });
    if (!answered) {
        this->post(outbox, sender, queuedMessage(request.id));
    }
    this->apply(pool->first, actions, outbox);
}

void SlotService::State::onReply(const std::string &sender, const wire::SlotReply &message, Outbox &outbox)
{
    const auto found = this->asks.find(message.grant());
    if (found != this->asks.end()) {
        Ask &ask = *found->second;
        if (message.granted()) {
            this->applyGrant(ask.pool, {{this->self, message.grant()}, message.upstream(), message.address()}, outbox);
        } else if (message.denial_code() == queuedCode) {
            ask.queued = true;
            ask.changed.notify_all();
        } else {
            this->answer(message.grant(), SlotDenial{message.denial_code(), absl::Microseconds(message.retry_after_us())});
        }
        return;
    }
    // The grant of a withdrawn ask: the withdrawal may have been lost.
    const auto late = std::find_if(this->withdrawn.begin(), this->withdrawn.end(), [&message](const auto &entry) { return entry.first == message.grant(); });
    if (message.granted() && late != this->withdrawn.end()) {
        GrantOutcome cancelled;
        cancelled.result = wire::SLOT_RESULT_CANCELLED;
        this->post(outbox, sender, toMessage(late->second, message.grant(), cancelled));
    }
}

void SlotService::State::onRelease(const std::string &sender, const wire::SlotRelease &message, Outbox &outbox)
{
    SlotPool *pool = this->running(message.service());
    if (pool != nullptr) {
        this->apply(message.service(), pool->release({sender, message.grant()}, fromMessage(message), absl::Now()), outbox);
    }
}

void SlotService::State::onRevoke(const std::string &sender, const wire::SlotRevoke &message, Outbox &outbox)
{
    if (this->tickets.contains(message.grant())) {
        this->revokeTicket(message.grant(), outbox);
    } else if (!this->asks.contains(message.grant())) {
        GrantOutcome cancelled;
        cancelled.result = wire::SLOT_RESULT_CANCELLED;
        this->post(outbox, sender, toMessage(message.service(), message.grant(), cancelled));
    }
}

void SlotService::State::onHeld(const std::string &sender, const wire::HeldSlots &message, Outbox &outbox)
{
    const absl::Time now = absl::Now();
    const auto pool = this->pools.find(message.service());
    if (pool != this->pools.end() && !pool->second.region.empty()) {
        this->apply(pool->first, this->run(pool->first, pool->second, now).adopt(sender, fromMessage(message), now), outbox);
    }
}

void SlotService::State::onSuspect(const wire::SuspectNotice &message, Outbox &outbox)
{
    const absl::Time now = absl::Now();
    if (this->directory.catalogue()->find(message.service()) == nullptr) {
        return;
    }
    this->suspects[message.service()].merge(message.fingerprint(), message.crashes(), now);
    for (auto &[name, pool] : this->pools) {
        if (pool.service == message.service() && pool.run != nullptr) {
            this->apply(name, pool.run->suspectNotice(message.fingerprint(), message.crashes(), now), outbox);
        }
    }
}

void SlotService::State::tick()
{
    this->refresh();
    const absl::Time now = absl::Now();
    Outbox outbox;
    {
        const Lock lock(this->mutex);
        this->informJoinedHosts(now, outbox);
        const bool reportDue = now - this->lastReport >= reportPeriod;
        for (auto &[name, pool] : this->pools) {
            this->tickPool(name, pool, now, outbox);
            if (reportDue) {
                this->report(name, pool, now, outbox);
            }
        }
        if (reportDue) {
            this->lastReport = now;
            std::erase_if(this->lastHeard, [&](const auto &item) { return !this->directory.isLive(item.first) && now - item.second > absl::Minutes(1); });
            std::erase_if(this->lastUnanswered, [&](const auto &item) { return now - item.second > unresponsivePeriod; });
        }
    }
    this->flush(outbox);
}

void SlotService::State::tickPool(const std::string &poolName, Pool &pool, absl::Time now, Outbox &outbox)
{
    if (pool.run == nullptr) {
        return;
    }
    this->apply(poolName, pool.run->tick(now), outbox);
    const std::set<std::string> users = pool.run->hosts();
    for (const std::string &host : users) {
        const auto heard = this->lastHeard.find(host);
        const bool silent = heard == this->lastHeard.end() || now - heard->second > silentHostPeriod;
        if (host != this->self && silent && !this->directory.isLive(host)) {
            this->apply(poolName, pool.run->removeHost(host, now), outbox);
        }
    }
    if (users.empty() && pool.holder != this->self) {
        pool.run.reset();
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
            this->joins.update(live, absl::Now());
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
    // Pools that are gone from the catalogue stay until their tickets end.
    std::vector<std::string> unused;
    for (auto &[name, pool] : this->pools) {
        if (!pool.upstreams.empty()) {
            continue;
        }
        pool.local.setUpstreams({});
        if (pool.run != nullptr) {
            const ServiceSpec *spec = this->directory.catalogue()->find(pool.service);
            this->apply(name, pool.run->configure(spec == nullptr ? ServiceSpec() : *spec, {}, now), outbox);
        }
        const bool asked = std::any_of(this->asks.begin(), this->asks.end(), [&name = name](const auto &item) { return item.second->pool == name; });
        if (!asked && pool.local.entries().empty() && pool.onlineWaiting == 0 && (pool.run == nullptr || pool.run->hosts().empty())) {
            unused.push_back(name);
        }
    }
    for (const std::string &name : unused) {
        this->pools.erase(name);
    }
    std::erase_if(this->suspects, [this](const auto &item) { return this->directory.catalogue()->find(item.first) == nullptr; });
}

void SlotService::State::configurePool(const ServiceSpec &spec, const std::string &region, absl::Time now, Outbox &outbox)
{
    const std::string name = SlotDirectory::poolName(spec.name, region);
    Pool &pool = this->pools[name];
    pool.service = spec.name;
    pool.region = region;
    // A plain service is called in the own region while that has upstreams.
    const std::vector<std::string> regions = SlotDirectory::regionsOf(spec, this->context.settings.region);
    const std::string wanted = !region.empty() || regions.empty() ? region : regions.front();
    const bool everywhere = region.empty() && wanted != this->context.settings.region;
    for (const UpstreamSpec &upstream : spec.upstreams) {
        if (everywhere || upstream.region == wanted) {
            pool.upstreams.push_back({upstream.name, upstream.address, spec.slotsPerUpstream, upstream.leaving});
        }
    }
    const auto hosts = static_cast<std::int64_t>(std::max<std::size_t>(1, this->directory.hosts().size()));
    std::vector<PoolUpstream> share = pool.upstreams;
    for (PoolUpstream &upstream : share) {
        upstream.slots = std::max<std::int64_t>(1, upstream.slots / hosts);
    }
    pool.local.setUpstreams(share);
    pool.freed->notify_all();
    if (pool.run != nullptr) {
        this->apply(name, pool.run->configure(spec, pool.upstreams, now), outbox);
    }
    if (!region.empty()) {
        this->changeHolder(name, pool, now, outbox);
    }
}

void SlotService::State::changeHolder(const std::string &poolName, Pool &pool, absl::Time now, Outbox &outbox)
{
    const std::string holder = this->directory.holderOf(pool.service, pool.region);
    if (holder == pool.holder) {
        return;
    }
    pool.holder = holder;
    if (holder == this->self) {
        this->run(poolName, pool, now);
    } else {
        this->report(poolName, pool, now, outbox);
    }
    for (auto &[number, ask] : this->asks) {
        if (ask->pool == poolName && ask->holder != holder) {
            ask->holderChanged = true;
            ask->changed.notify_all();
        }
    }
}

void SlotService::State::report(const std::string &poolName, Pool &pool, absl::Time now, Outbox &outbox)
{
    if (pool.region.empty() || pool.local.entries().empty()) {
        return;
    }
    std::vector<HeldGrant> held;
    for (const auto &[number, ticket] : this->tickets) {
        if (ticket.pool == poolName) {
            held.push_back({number, ticket.ticket.upstream, ticket.workClass, ticket.fingerprint, ticket.organisation, ticket.tokens});
        }
    }
    if (pool.holder == this->self && pool.run != nullptr) {
        this->apply(poolName, pool.run->adopt(this->self, held, now), outbox);
    } else if (!held.empty() || pool.reported) {
        this->post(outbox, pool.holder, toMessage(poolName, held));
    }
    pool.reported = !held.empty();
}

nlohmann::json SlotService::State::poolStatus(const Pool &pool, absl::Time now)
{
    nlohmann::json json = {{"service", pool.service}, {"region", pool.region}, {"holder", pool.holder}};
    for (const auto &[name, entry] : pool.local.entries()) {
        json["local"][name] = {{"in_flight", entry.inFlight}, {"share", entry.spec.slots}, {"score", pool.local.latency().score(name, now)}};
    }
    if (pool.run == nullptr) {
        return json;
    }
    const SlotPoolStatus status = pool.run->status(now);
    for (const SlotPoolStatus::Upstream &upstream : status.upstreams) {
        json["upstreams"][upstream.name] = {{"in_flight", upstream.inFlight},
                                            {"slots", upstream.slots},
                                            {"score", upstream.score},
                                            {"ejected", upstream.ejected},
                                            {"leaving", upstream.leaving},
                                            {"isolated", upstream.isolated}};
    }
    json["in_flight"] = {{"online", status.onlineInFlight}, {"batch", status.batchInFlight}};
    json["queued"] = {{"online", status.onlineQueued}, {"batch", status.batchQueued}, {"copies", status.parked}, {"suspects", status.suspectsQueued}};
    json["reserve"] = status.reserve;
    json["counts"] = {{"granted", status.grants}, {"denied", status.denials}, {"revoked", status.revocations}};
    json["suspects"] = pool.run->suspects().size();
    return json;
}

nlohmann::json SlotService::State::status() const
{
    const absl::Time now = absl::Now();
    const std::lock_guard<std::mutex> lock(this->mutex);
    nlohmann::json json = {
        {"pools", nlohmann::json::object()}, {"tickets", this->tickets.size()}, {"waiting", this->asks.size()}, {"fallbacks", this->fallbacks}};
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
        if (pool.run == nullptr) {
            continue;
        }
        const SlotPoolStatus status = pool.run->status(now);
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
