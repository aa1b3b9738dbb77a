#include "OnlineCall.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include "CallRefusal.h"
#include "RendezvousHash.h"
#include "WeakCallback.h"

namespace Bergamotramp {

namespace {

// An upstream that has sent bytes for any request within this time is only slow or busy; one that sends nothing may be down.
constexpr absl::Duration recentActivityPeriod = absl::Milliseconds(200);
constexpr double silentUpstreamShareOfObjective = 0.8;
constexpr double activeUpstreamShareOfObjective = 1.5;
constexpr double eventGapShareOfObjective = 0.6;
constexpr absl::Duration minSilenceLimit = absl::Milliseconds(120);
// Sent as Retry-After with a response that says the request has not run. A request to the users' services takes about a second.
constexpr absl::Duration overloadRetryAfter = absl::Milliseconds(250);
// A request with a part that may crash upstreams is sent to at most this many that do.
constexpr int maxLostAttemptsOfSuspects = 2;
constexpr int gatewayError = 502;

std::string_view nameOf(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::Completed:
        return "completed";
    case AttemptOutcome::Failed:
        return "failed";
    case AttemptOutcome::NotRun:
        return "not_run";
    case AttemptOutcome::MayHaveRun:
        break;
    }
    return "unknown";
}

std::string partNames(const std::vector<std::uint64_t> &parts)
{
    return absl::StrJoin(parts, ",", [](std::string *text, std::uint64_t part) { absl::StrAppend(text, absl::Hex(part)); });
}

} // namespace

OnlineCall::OnlineCall(const OnlineContext &context,
                       std::shared_ptr<HttpExchange> exchange,
                       CallerCall call,
                       Route route,
                       CallerOrganisation organisation,
                       std::vector<std::string> services,
                       std::function<void()> onEnded)
    : context(context)
    , exchange(std::move(exchange))
    , call(std::move(call))
    , route(std::move(route))
    , organisation(std::move(organisation))
    , services(std::move(services))
    , service(chooseTarget(this->services, [this](const std::string &candidate) { return !this->context.upstreams.available(candidate).empty(); }))
    , onEnded(std::move(onEnded))
    , deadline(this->exchange->received() + std::min(this->call.timeBudget, this->route.timeout))
    , retryPolicy(this->route.repeatable(), this->route.maxAttempts, this->deadline)
    , fingerprint(stableHash(stableHash(this->exchange->request().target), this->exchange->request().body))
    , attempts(this->context.attempts)
    , lastEventId(this->call.resumeAfter)
{
}

void OnlineCall::start()
{
    this->attempts.setHooks({.streamStarted = makeWeakCallback(this->weak_from_this(), &OnlineCall::onStreamStarted),
                             .event = makeWeakCallback(this->weak_from_this(), &OnlineCall::onEvent),
                             .ended = makeWeakCallback(this->weak_from_this(), &OnlineCall::onAttemptEnded)});
    const absl::Time now = this->context.attempts.loop.now();
    if (this->context.hedges != nullptr && this->route.repeatable()) {
        this->hedge = std::make_unique<CallHedge>(
            HedgeContext{.loop = this->context.attempts.loop, .planner = *this->context.hedges, .log = this->context.log, .metrics = this->context.metrics},
            this->call.id,
            HedgeSubject{.service = this->service, .route = this->route.name, .promptTokens = this->call.promptTokens});
    }
    this->deadlineTimer = this->context.attempts.loop.after(this->deadline - now, makeWeakCallback(this->weak_from_this(), &OnlineCall::onDeadline));
    this->exchange->onCallerDisconnected(makeWeakCallback(this->weak_from_this(), &OnlineCall::onCallerDisconnected));
    if (this->context.suspects.isQuarantined(this->fingerprint, now)) {
        this->refuse("crashing_request", "this request has crashed each upstream that ran it", absl::Seconds(5), "convicted");
        return;
    }
    if (this->route.kind == RouteKind::Stream && this->lastEventId) {
        // Without a record of the stream, any target of the route may have begun it, so the versions of one of them tell nothing.
        const std::string presumedService = this->route.targets.size() == 1 ? this->service : "";
        this->context.findOrigin(this->call.resumedId, presumedService, makeWeakCallback(this->weak_from_this(), &OnlineCall::takeUp));
        return;
    }
    this->startNextAttempt();
}

void OnlineCall::takeUp(const std::optional<StreamOrigin> &found)
{
    if (this->finished) {
        return;
    }
    const auto isTarget = [&found](const RouteTarget &target) { return target.service == found->service; };
    const bool continues = found && std::ranges::any_of(this->route.targets, isTarget);
    this->context.log.write("stream_taken_up",
                            {{"request", this->call.id},
                             {"resumes", this->call.resumedId},
                             {"known", found.has_value()},
                             {"version", found ? found->softwareVersion : std::string()}});
    if (!continues) {
        this->refuse("stream_unknown", "it is not known what wrote the events before; the request may be sent anew", absl::ZeroDuration(), "stream_unknown");
        return;
    }
    this->setOrigin(*found);
    this->startNextAttempt();
}

UpstreamSelector::VersionFilter OnlineCall::requiredVersion() const
{
    return this->origin ? UpstreamSelector::VersionFilter(this->origin->softwareVersion) : std::nullopt;
}

std::string OnlineCall::noUpstreamReason() const
{
    std::vector<const UpstreamInfo *> available;
    for (const std::string &candidate : this->services) {
        std::ranges::copy(this->context.upstreams.available(candidate), std::back_inserter(available));
    }
    if (available.empty()) {
        return "no_upstream";
    }
    const auto fits = [this](const UpstreamInfo *upstream) { return !this->origin || upstream->softwareVersion == this->origin->softwareVersion; };
    return std::ranges::any_of(available, fits) ? "no_room" : "version_gone";
}

// A request can't wait for room as an item of a job can, so it goes to another target of its route also when its own is full.
const UpstreamInfo *OnlineCall::chooseUpstream(const std::set<std::string> &excluded, absl::Time now) const
{
    for (const std::string &candidate : this->services) {
        if (const UpstreamInfo *upstream = this->context.choice.chooseForOnline(candidate, excluded, now, this->requiredVersion())) {
            return upstream;
        }
    }
    return nullptr;
}

void OnlineCall::startNextAttempt()
{
    const absl::Time now = this->context.attempts.loop.now();
    const UpstreamInfo *upstream = this->chooseUpstream(this->triedUpstreams, now);
    if (upstream == nullptr) {
        // All upstreams have been tried; one that refused the request may have a free slot by now.
        upstream = this->chooseUpstream(this->failedUpstreams, now);
    }
    if (upstream == nullptr) {
        upstream = this->chooseUpstream({}, now);
    }
    if (upstream == nullptr) {
        this->giveUp(this->noUpstreamReason());
        return;
    }
    // Only a request that has an upstream may be a trial.
    if (this->admitPromptParts()) {
        this->startFurtherAttempt(*upstream);
    }
}

void OnlineCall::startFurtherAttempt(const UpstreamInfo &upstream)
{
    this->useService(upstream.service);
    if (this->hedge) {
        this->hedge->onAttempt(this->retryPolicy.state() == CallState::MayHaveRun);
    }
    this->startAttempt(upstream);
    if (this->hedge && !this->exchange->started()) {
        this->hedge->watch(this->attempts.running().back(), makeWeakCallback(this->weak_from_this(), &OnlineCall::hedgeWhenDue));
    }
}

void OnlineCall::hedgeWhenDue()
{
    if (this->finished || this->exchange->started() || this->attempts.running().size() != 1) {
        return;
    }
    const RunningAttempt &first = this->attempts.running().front();
    const bool answerArrives = this->route.kind != RouteKind::Stream && first.attempt->lastActivity() > first.started;
    if (answerArrives || !this->hedge->isDue(first, makeWeakCallback(this->weak_from_this(), &OnlineCall::hedgeWhenDue))) {
        return;
    }
    const absl::Time now = this->context.attempts.loop.now();
    if (const auto refusal = this->hedgeRefusal(now)) {
        this->hedge->onRefused(*refusal);
        return;
    }
    const UpstreamInfo *upstream = this->context.choice.chooseForHedge(this->service, this->triedUpstreams, now, this->requiredVersion());
    if (upstream == nullptr) {
        this->hedge->onRefused(HedgeRefusal::NoSpareUpstream);
    } else if (!this->hedge->take(first, this->deadline)) {
        this->hedge->onRefused(HedgeRefusal::Budget);
    } else {
        this->hedge->onStarted(this->attempts.count() + 1, upstream->id, first);
        this->startAttempt(*upstream);
    }
}

std::optional<HedgeRefusal> OnlineCall::hedgeRefusal(absl::Time now) const
{
    if (this->context.stopping()) {
        return HedgeRefusal::Stopping;
    }
    if (this->mayCrashUpstreams(now)) {
        return HedgeRefusal::Suspect;
    }
    return this->retryPolicy.mayReplace(now) ? std::nullopt : std::optional<HedgeRefusal>(HedgeRefusal::Attempts);
}

bool OnlineCall::mayCrashUpstreams(absl::Time now) const
{
    const auto isSuspect = [this, now](std::uint64_t part) {
        return this->context.promptParts.isSuspect(part, now) || this->context.promptParts.isQuarantined(part, now);
    };
    return !this->trialParts.empty() || this->lostAttempts > 0 || this->context.suspects.isSuspect(this->fingerprint, now)
           || this->context.suspects.isQuarantined(this->fingerprint, now) || std::ranges::any_of(this->call.sharedPromptParts, isSuspect);
}

void OnlineCall::settle(int winner, const std::string &upstream, absl::Time started, bool measured)
{
    if (!this->hedge || this->hedge->answered()) {
        return;
    }
    this->hedge->onAnswer(winner, upstream, started, measured);
    const auto isOther = [winner](const RunningAttempt &running) { return running.number != winner; };
    const auto &running = this->attempts.running();
    for (auto loser = std::ranges::find_if(running, isOther); loser != running.end(); loser = std::ranges::find_if(running, isOther)) {
        this->hedge->onLost(*loser);
        this->recordIfSilent(*loser);
        this->retryPolicy.recordReplacement();
        this->attempts.stop(loser->number);
    }
}

// Without this, an upstream that hangs would keep getting requests as long as hedges answer them before the silence limit.
void OnlineCall::recordIfSilent(const RunningAttempt &running)
{
    const absl::Time now = this->context.attempts.loop.now();
    const std::string &upstream = running.attempt->upstream().id;
    const absl::Time lastActivity = std::max(running.attempt->lastActivity(), this->context.attempts.health.lastActivity(upstream));
    if (now - lastActivity > recentActivityPeriod) {
        this->context.attempts.health.recordFailure(upstream, now);
    }
}

void OnlineCall::startAttempt(const UpstreamInfo &upstream)
{
    this->triedUpstreams.insert(upstream.id);
    const absl::Time now = this->context.attempts.loop.now();
    const RequestCounts load = this->context.attempts.load.total(upstream.id, now);
    this->context.log.write("attempt",
                            {{"request", this->call.id},
                             {"route", this->route.name},
                             {"organisation", this->organisation.value_or("")},
                             {"upstream", upstream.id},
                             {"version", upstream.softwareVersion},
                             {"number", this->attempts.count() + 1},
                             {"resumesAfter", this->lastEventId.value_or(0)},
                             {"online", load.online},
                             {"batch", load.batch},
                             {"leftMs", this->deadline - now}});
    const RunningAttempt &running = this->attempts.add(upstream, this->route.kind == RouteKind::Stream);
    const HttpRequest request = this->context.attempts.protocol.prepareAttempt(
        this->exchange->request(), upstream, {.timeLeft = this->deadline - now, .resumeAfter = this->lastEventId, .organisation = this->organisation});
    running.attempt->send(request, this->call.id, this->route.repeatable());
}

void OnlineCall::onStreamStarted(int number, const HttpHead &head)
{
    if (RunningAttempt *running = this->attempts.find(number)) {
        // The head is sent with the first event, so that an upstream that fails earlier can still be replaced.
        running->streamHead = {.status = head.status, .fields = head.fields.endToEnd()};
    }
}

void OnlineCall::onEvent(int number, const StreamEvent &event)
{
    const RunningAttempt *running = this->attempts.find(number);
    if (this->finished || running == nullptr) {
        return;
    }
    const UpstreamInfo &upstream = running->attempt->upstream();
    const bool hasContent = event.id || !event.data.empty();
    if (hasContent) {
        this->onAnswerBegun(upstream.id);
    } else if (this->attempts.running().size() > 1) {
        // The first event that is forwarded decides which attempt answers, and an event without content does not begin the answer.
        return;
    }
    if (event.id && !this->acceptEventId(number, *event.id)) {
        return;
    }
    if (hasContent) {
        this->settle(number, upstream.id, running->started, true);
        this->recordOrigin(upstream);
    }
    this->forwardEvent(number, event);
}

bool OnlineCall::acceptEventId(int number, std::uint64_t id)
{
    if (this->lastEventId && id <= *this->lastEventId) {
        return false;
    }
    if (this->lastEventId && id != *this->lastEventId + 1) {
        this->onAttemptEnded(number, {.outcome = AttemptOutcome::MayHaveRun});
        return false;
    }
    this->lastEventId = id;
    return true;
}

void OnlineCall::recordOrigin(const UpstreamInfo &upstream)
{
    if (this->origin) {
        return;
    }
    this->setOrigin({.service = upstream.service, .softwareVersion = upstream.softwareVersion});
    if (this->route.resumable) {
        this->context.recordBegin(this->call.id, *this->origin);
    }
}

void OnlineCall::setOrigin(const StreamOrigin &writer)
{
    this->origin = writer;
    this->services = {writer.service};
    this->useService(writer.service);
}

void OnlineCall::useService(const std::string &used)
{
    this->service = used;
    if (this->hedge) {
        this->hedge->setService(used);
    }
}

void OnlineCall::forwardEvent(int number, const StreamEvent &event)
{
    if (!this->exchange->started()) {
        this->exchange->startBody(this->attempts.find(number)->streamHead);
        this->context.metrics.recordFirstEvent(this->route.name, this->context.attempts.loop.now() - this->exchange->received());
    }
    this->exchange->sendBody(event.frame);
}

void OnlineCall::onAttemptEnded(int number, const AttemptResult &result)
{
    const RunningAttempt *running = this->attempts.find(number);
    if (this->finished || running == nullptr) {
        return;
    }
    const UpstreamInfo upstream = running->attempt->upstream();
    const absl::Time started = running->started;
    const HttpHead streamHead = running->streamHead;
    this->attempts.stop(number);
    this->context.metrics.recordAttempt(upstream.service, std::string(nameOf(result.outcome)));
    if (result.outcome != AttemptOutcome::NotRun) {
        this->failedUpstreams.insert(upstream.id);
    } else {
        ++this->refusedAttempts;
    }
    this->updateCrashRecord(result, upstream.id, started);
    if (result.outcome != AttemptOutcome::Completed) {
        this->recordUnfinished(number, result, upstream, started);
        this->continueAfter(result);
        return;
    }
    const bool succeeded = result.head.status / 100 == 2;
    if (result.answerBegun && succeeded) {
        this->onAnswerBegun(upstream.id);
    }
    this->settle(number, upstream.id, started, succeeded);
    if (this->route.kind == RouteKind::Stream && succeeded && result.body.empty()) {
        this->finishStream(streamHead);
    } else {
        this->deliverResponse(result);
    }
}

void OnlineCall::recordUnfinished(int number, const AttemptResult &result, const UpstreamInfo &upstream, absl::Time started)
{
    this->context.log.write("attempt_ended",
                            {{"request", this->call.id},
                             {"upstream", upstream.id},
                             {"end", nameOf(result.outcome)},
                             {"status", result.head.status},
                             {"disconnected", result.connectionLost}});
    if (this->lostBeforeAnswer(result)) {
        this->context.log.write("upstream_lost_before_answer",
                                {{"request", this->call.id},
                                 {"upstream", upstream.id},
                                 {"startedAtMs", upstream.startedAtMs},
                                 {"promptParts", partNames(this->call.sharedPromptParts)}});
        this->chargePromptParts(upstream, started);
    }
    if (this->hedge) {
        this->hedge->onFailed(number);
    }
}

void OnlineCall::continueAfter(const AttemptResult &result)
{
    // Asked also while the other one of two attempts may still answer, because the policy keeps whether any attempt may have run.
    const bool mayRetry = this->retryPolicy.mayRetry(result.outcome, this->context.attempts.loop.now());
    if (!this->attempts.empty()) {
        return;
    }
    if (mayRetry && !this->retryWouldRiskUpstreams(result.outcome)) {
        this->startNextAttempt();
    } else if (result.outcome == AttemptOutcome::Failed && !this->exchange->started()) {
        this->deliverResponse(result);
    } else {
        this->giveUp(result.outcome == AttemptOutcome::NotRun ? "refused_by_upstreams" : "upstream_failed");
    }
}

bool OnlineCall::lostBeforeAnswer(const AttemptResult &result) const
{
    // A resumed answer has begun earlier, which has shown that the request crashes no upstream.
    return result.outcome == AttemptOutcome::MayHaveRun && result.connectionLost && !result.answerBegun && !this->answerBegun;
}

bool OnlineCall::admitPromptParts()
{
    if (!this->trialParts.empty()) {
        return true;
    }
    // The trial is the only attempt of its request, so that it costs one upstream at most.
    const bool mayBeTrial = this->retryPolicy.state() == CallState::NotRun;
    const PartAdmission admission =
        this->context.promptParts.admit(this->call.sharedPromptParts, mayBeTrial, this->context.trialDelay, this->context.attempts.loop.now());
    if (admission.verdict == PartVerdict::Admitted) {
        return true;
    }
    if (admission.verdict == PartVerdict::Trial) {
        this->startTrial(admission);
        return true;
    }
    this->context.log.write("prompt_part_refused",
                            {{"request", this->call.id},
                             {"promptParts", partNames(admission.quarantined)},
                             {"attempts", this->attempts.count()},
                             {"retryAfterMs", admission.retryAfter}});
    if (this->retryPolicy.state() == CallState::NotRun && !this->exchange->started()) {
        this->refuse("crashing_request", "a part of the prompt has crashed the upstreams that ran it", admission.retryAfter, "prompt_part_quarantined");
    } else {
        this->giveUp("prompt_part_quarantined");
    }
    return false;
}

void OnlineCall::startTrial(const PartAdmission &admission)
{
    this->trialParts = admission.quarantined;
    this->context.log.write("prompt_part_trial", {{"request", this->call.id}, {"promptParts", partNames(this->trialParts)}});
    this->context.announcePromptParts(this->trialParts);
}

void OnlineCall::chargePromptParts(const UpstreamInfo &upstream, absl::Time started)
{
    ++this->lostAttempts;
    const absl::Time now = this->context.attempts.loop.now();
    const PartCrash crash{.lost = now, .sent = started, .upstreamStart = stableHash(stableHash(upstream.id), std::to_string(upstream.startedAtMs))};
    std::vector<std::pair<std::uint64_t, PartChange>> changes;
    // The cause of a failed trial is one of the parts that were on trial.
    for (const std::uint64_t part : this->trialParts.empty() ? this->call.sharedPromptParts : this->trialParts) {
        changes.emplace_back(part, this->context.promptParts.recordCrash(part, crash, now));
    }
    this->reportPartChanges(changes, upstream.id);
}

// Upstreams crash on a part when they begin the answer, so the first content of an answer already shows that none of the parts did it.
void OnlineCall::onAnswerBegun(const std::string &upstream)
{
    if (std::exchange(this->answerBegun, true)) {
        return;
    }
    const absl::Time now = this->context.attempts.loop.now();
    std::vector<std::pair<std::uint64_t, PartChange>> changes;
    for (const std::uint64_t part : this->call.sharedPromptParts) {
        changes.emplace_back(part, this->context.promptParts.recordAnswer(part, now));
    }
    this->reportPartChanges(changes, upstream);
}

void OnlineCall::reportPartChanges(const std::vector<std::pair<std::uint64_t, PartChange>> &changes, std::string_view upstream)
{
    static const std::map<PartChange, std::string_view> events{{PartChange::Charged, "prompt_part_charged"},
                                                               {PartChange::Quarantined, "prompt_part_quarantined"},
                                                               {PartChange::Cleared, "prompt_part_cleared"},
                                                               {PartChange::Lifted, "prompt_part_lifted"}};
    const absl::Time now = this->context.attempts.loop.now();
    std::vector<std::uint64_t> changed;
    for (const auto &[part, change] : changes) {
        if (change == PartChange::None) {
            continue;
        }
        changed.push_back(part);
        this->context.log.write(events.at(change),
                                {{"request", this->call.id},
                                 {"promptPart", absl::StrCat(absl::Hex(part))},
                                 {"upstream", upstream},
                                 {"crashes", static_cast<std::uint64_t>(this->context.promptParts.crashes(part, now))}});
    }
    if (!changed.empty()) {
        this->context.announcePromptParts(changed);
    }
}

bool OnlineCall::retryWouldRiskUpstreams(AttemptOutcome outcome) const
{
    if (outcome == AttemptOutcome::NotRun) {
        return false;
    }
    const absl::Time now = this->context.attempts.loop.now();
    const auto isSuspect = [this, now](std::uint64_t part) { return this->context.promptParts.isSuspect(part, now); };
    return !this->trialParts.empty() || (this->lostAttempts >= maxLostAttemptsOfSuspects && std::ranges::any_of(this->call.sharedPromptParts, isSuspect));
}

void OnlineCall::updateCrashRecord(const AttemptResult &result, const std::string &upstream, absl::Time started)
{
    const absl::Time now = this->context.attempts.loop.now();
    if (result.outcome == AttemptOutcome::MayHaveRun && result.connectionLost) {
        if (const auto crashes = this->context.suspects.recordCrash(this->fingerprint, upstream, started, now)) {
            this->context.log.write("request_suspected",
                                    {{"request", this->call.id}, {"upstream", upstream}, {"crashes", static_cast<std::uint64_t>(*crashes)}});
            this->context.announceCrashes({this->context.suspects.count(this->fingerprint)});
        }
    } else if (result.outcome == AttemptOutcome::Completed && this->context.suspects.recordCompletion(this->fingerprint, now)) {
        this->context.announceCrashes({CrashCount{this->fingerprint}});
    }
}

void OnlineCall::finishStream(const HttpHead &streamHead)
{
    if (!this->exchange->started()) {
        this->exchange->startBody(streamHead);
    }
    this->exchange->finishBody();
    this->end(200, "completed");
}

void OnlineCall::deliverResponse(const AttemptResult &result)
{
    if (this->exchange->started()) {
        // The caller has part of a stream already, and the upstream that should resume it has sent a response without a stream.
        this->giveUp("not_resumed");
        return;
    }
    const HttpResponse response{.head = {.status = result.head.status, .fields = result.head.fields.endToEnd()}, .body = result.body};
    this->exchange->respond(response);
    this->end(response.head.status, "upstream_answer");
}

void OnlineCall::checkProgress(absl::Time now)
{
    if (this->finished || this->attempts.empty() || !this->trialParts.empty()
        || !this->retryPolicy.mayReplace(now, static_cast<int>(this->attempts.running().size()))) {
        return;
    }
    const auto isSilent = [this, now](const RunningAttempt &each) {
        return now - each.attempt->lastActivity() >= this->silenceLimit(each.attempt->upstream().id, now);
    };
    if (!std::ranges::all_of(this->attempts.running(), isSilent)) {
        return;
    }
    const RunningAttempt &running = this->attempts.running().front();
    const std::string upstream = running.attempt->upstream().id;
    const absl::Duration silent = now - running.attempt->lastActivity();
    const UpstreamInfo *replacement = this->chooseUpstream(this->triedUpstreams, now);
    if (replacement == nullptr) {
        return;
    }
    const auto isQuarantined = [this, now](std::uint64_t part) { return this->context.promptParts.isQuarantined(part, now); };
    if (std::ranges::any_of(this->call.sharedPromptParts, isQuarantined)) {
        return;
    }
    this->context.log.write("attempt_replaced", {{"request", this->call.id}, {"upstream", upstream}, {"silentMs", silent}});
    if (now - this->context.attempts.health.lastActivity(upstream) > recentActivityPeriod) {
        this->context.attempts.health.recordFailure(upstream, now);
    }
    this->retryPolicy.recordReplacement();
    this->failedUpstreams.insert(upstream);
    if (this->hedge) {
        this->hedge->onFailed(running.number);
    }
    this->attempts.stop(running.number);
    this->startFurtherAttempt(*replacement);
}

absl::Duration OnlineCall::silenceLimit(const std::string &upstream, absl::Time now) const
{
    if (this->exchange->started() && this->route.eventGapObjective > absl::ZeroDuration()) {
        return std::max(minSilenceLimit, this->route.eventGapObjective * eventGapShareOfObjective);
    }
    const bool recentlyActive = now - this->context.attempts.health.lastActivity(upstream) < recentActivityPeriod;
    return std::max(minSilenceLimit, this->route.latencyObjective * (recentlyActive ? activeUpstreamShareOfObjective : silentUpstreamShareOfObjective));
}

absl::Duration OnlineCall::retryAfter()
{
    return std::max(overloadRetryAfter, this->context.reserveReturn(this->service).value_or(overloadRetryAfter));
}

void OnlineCall::giveUp(const std::string &reason)
{
    if (this->exchange->started()) {
        this->exchange->abort();
        this->end(0, reason);
    } else if (this->retryPolicy.state() == CallState::NotRun) {
        this->refuse(reason, "no upstream could take the request", this->retryAfter(), reason);
    } else {
        this->answer(failureResponse(gatewayError, reason, "the upstream ended without an answer", "unknown"), reason);
    }
}

void OnlineCall::onDeadline()
{
    this->cutShort("timeout", "no answer within the time-out");
}

void OnlineCall::answerBeforeStop()
{
    if (!this->finished && !this->exchange->started()) {
        this->cutShort("stopping", "this host stopped before the request was complete");
    }
}

bool OnlineCall::hasCertainlyNotRun() const
{
    return this->attempts.count() == this->refusedAttempts;
}

void OnlineCall::cutShort(const std::string &reason, const std::string &message)
{
    const bool mayHaveRun = !this->attempts.empty() || this->retryPolicy.state() == CallState::MayHaveRun;
    this->attempts.stopAll();
    if (this->exchange->started()) {
        this->exchange->abort();
        this->end(0, reason);
    } else if (mayHaveRun) {
        this->answer(unknownOutcomeResponse(reason, message), reason);
    } else {
        this->refuse(reason, message, this->retryAfter(), reason);
    }
}

void OnlineCall::onCallerDisconnected()
{
    this->attempts.stopAll();
    this->end(0, "caller_left");
}

void OnlineCall::refuse(const std::string &code, const std::string &message, absl::Duration after, const std::string &reason)
{
    this->context.metrics.recordRefusal(code, this->organisation.value_or(""));
    this->answer(notRunResponse(code, message, after), reason);
}

void OnlineCall::answer(const HttpResponse &response, const std::string &reason)
{
    this->exchange->respond(response);
    this->end(response.head.status, reason);
}

void OnlineCall::end(int status, const std::string &reason)
{
    this->finished = true;
    if (this->hedge) {
        this->hedge->onCallEnded();
    }
    this->deadlineTimer.cancel();
    const absl::Duration latency = this->context.attempts.loop.now() - this->exchange->received();
    this->context.metrics.recordResponse(this->route.name, status, latency);
    this->context.log.write("answered",
                            {{"request", this->call.id},
                             {"route", this->route.name},
                             {"organisation", this->organisation.value_or("")},
                             {"service", this->service},
                             {"status", status},
                             {"reason", reason},
                             {"attempts", this->attempts.count()},
                             {"latencyMs", latency}});
    const auto self = this->shared_from_this();
    this->onEnded();
}

} // namespace Bergamotramp
