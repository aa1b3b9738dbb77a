#include "OnlineCall.h"

#include <algorithm>
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
                       std::string service,
                       std::function<void()> onEnded)
    : context(context)
    , exchange(std::move(exchange))
    , call(std::move(call))
    , route(std::move(route))
    , organisation(std::move(organisation))
    , service(std::move(service))
    , onEnded(std::move(onEnded))
    , deadline(this->exchange->received() + std::min(this->call.timeBudget, this->route.timeout))
    , retryPolicy(this->route.repeatable(), this->route.maxAttempts, this->deadline)
    , fingerprint(stableHash(stableHash(this->exchange->request().target), this->exchange->request().body))
    , lastEventId(this->call.resumeAfter)
{
}

void OnlineCall::start()
{
    const absl::Time now = this->context.attempts.loop.now();
    this->deadlineTimer = this->context.attempts.loop.after(this->deadline - now, makeWeakCallback(this->weak_from_this(), &OnlineCall::onDeadline));
    this->exchange->onCallerDisconnected(makeWeakCallback(this->weak_from_this(), &OnlineCall::onCallerDisconnected));
    if (this->context.suspects.isQuarantined(this->fingerprint, now)) {
        this->answer(notRunResponse("crashing_request", "this request has crashed each upstream that ran it", absl::Seconds(5)), "convicted");
        return;
    }
    if (this->route.kind == RouteKind::Stream && this->lastEventId) {
        this->context.findOrigin(this->call.resumedId, this->service, makeWeakCallback(this->weak_from_this(), &OnlineCall::takeUp));
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
        this->answer(notRunResponse("stream_unknown", "it is not known what wrote the events before; the request may be sent anew", absl::ZeroDuration()),
                     "stream_unknown");
        return;
    }
    this->origin = found;
    this->service = found->service;
    this->startNextAttempt();
}

UpstreamSelector::VersionFilter OnlineCall::requiredVersion() const
{
    return this->origin ? UpstreamSelector::VersionFilter(this->origin->softwareVersion) : std::nullopt;
}

std::string OnlineCall::noUpstreamReason() const
{
    const std::vector<const UpstreamInfo *> available = this->context.upstreams.available(this->service);
    if (available.empty()) {
        return "no_upstream";
    }
    const auto fits = [this](const UpstreamInfo *upstream) { return !this->origin || upstream->softwareVersion == this->origin->softwareVersion; };
    return std::ranges::any_of(available, fits) ? "no_room" : "version_gone";
}

void OnlineCall::startNextAttempt()
{
    const absl::Time now = this->context.attempts.loop.now();
    const UpstreamInfo *upstream = this->context.choice.chooseForOnline(this->service, this->triedUpstreams, now, this->requiredVersion());
    if (upstream == nullptr) {
        // All upstreams have been tried; one that refused the request may have a free slot by now.
        upstream = this->context.choice.chooseForOnline(this->service, this->failedUpstreams, now, this->requiredVersion());
    }
    if (upstream == nullptr) {
        upstream = this->context.choice.chooseForOnline(this->service, {}, now, this->requiredVersion());
    }
    if (upstream == nullptr) {
        this->giveUp(this->noUpstreamReason());
        return;
    }
    // Only a request that has an upstream may be a trial.
    if (this->admitPromptParts()) {
        this->startAttempt(*upstream);
    }
}

void OnlineCall::startAttempt(const UpstreamInfo &upstream)
{
    ++this->attempts;
    this->triedUpstreams.insert(upstream.id);
    const absl::Time now = this->context.attempts.loop.now();
    this->attemptStarted = now;
    const bool stream = this->route.kind == RouteKind::Stream;
    UpstreamAttempt::Hooks hooks{.streamStarted = makeWeakCallback(this->weak_from_this(), &OnlineCall::onStreamStarted),
                                 .event = makeWeakCallback(this->weak_from_this(), &OnlineCall::onEvent),
                                 .ended = makeWeakCallback(this->weak_from_this(), &OnlineCall::onAttemptEnded)};
    const RequestCounts load = this->context.attempts.load.total(upstream.id, now);
    this->context.log.write("attempt",
                            {{"request", this->call.id},
                             {"route", this->route.name},
                             {"upstream", upstream.id},
                             {"version", upstream.softwareVersion},
                             {"number", this->attempts},
                             {"resumesAfter", this->lastEventId.value_or(0)},
                             {"online", load.online},
                             {"batch", load.batch},
                             {"leftMs", this->deadline - now}});
    this->attempt = std::make_unique<UpstreamAttempt>(this->context.attempts, upstream, false, stream, std::move(hooks));
    const HttpRequest request = this->context.attempts.protocol.prepareAttempt(
        this->exchange->request(), upstream, {.timeLeft = this->deadline - now, .resumeAfter = this->lastEventId, .organisation = this->organisation});
    this->attempt->send(request, this->call.id, this->route.repeatable());
}

void OnlineCall::onStreamStarted(const HttpHead &head)
{
    if (!this->exchange->started()) {
        // The head is sent with the first event, so that an upstream that fails earlier can still be replaced.
        this->streamHead = {.status = head.status, .fields = head.fields.endToEnd()};
    }
}

void OnlineCall::onEvent(const StreamEvent &event)
{
    if (this->finished) {
        return;
    }
    if (event.id || !event.data.empty()) {
        this->onAnswerBegun();
    }
    if (event.id) {
        if (this->lastEventId && *event.id <= *this->lastEventId) {
            return;
        }
        if (this->lastEventId && *event.id != *this->lastEventId + 1) {
            this->onAttemptEnded({.outcome = AttemptOutcome::MayHaveRun});
            return;
        }
        this->lastEventId = event.id;
    }
    if (!this->origin && (event.id || !event.data.empty())) {
        this->origin = StreamOrigin{.service = this->service, .softwareVersion = this->attempt->upstream().softwareVersion};
        if (this->route.resumable) {
            this->context.recordBegin(this->call.id, *this->origin);
        }
    }
    if (!this->exchange->started()) {
        this->exchange->startBody(this->streamHead);
        this->context.metrics.recordFirstEvent(this->route.name, this->context.attempts.loop.now() - this->exchange->received());
    }
    this->exchange->sendBody(event.frame);
}

void OnlineCall::onAttemptEnded(const AttemptResult &result)
{
    if (this->finished) {
        return;
    }
    const UpstreamInfo upstream = this->attempt->upstream();
    UpstreamAttempt::stopAndDestroyLater(this->context.attempts.loop, std::move(this->attempt));
    this->context.metrics.recordAttempt(this->service, std::string(nameOf(result.outcome)));
    if (result.outcome != AttemptOutcome::NotRun) {
        this->failedUpstreams.insert(upstream.id);
    }
    this->updateCrashRecord(result, upstream.id);
    const bool streamed = this->route.kind == RouteKind::Stream && result.head.status / 100 == 2;
    if (result.outcome == AttemptOutcome::Completed) {
        if (result.answerBegun && result.head.status / 100 == 2) {
            this->onAnswerBegun();
        }
        if (streamed && result.body.empty()) {
            this->finishStream();
        } else {
            this->deliverResponse(result);
        }
        return;
    }
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
        this->chargePromptParts(upstream);
    }
    if (this->retryPolicy.mayRetry(result.outcome, this->context.attempts.loop.now()) && !this->retryWouldRiskUpstreams(result.outcome)) {
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
    this->context.log.write(
        "prompt_part_refused",
        {{"request", this->call.id}, {"promptParts", partNames(admission.quarantined)}, {"attempts", this->attempts}, {"retryAfterMs", admission.retryAfter}});
    if (this->retryPolicy.state() == CallState::NotRun && !this->exchange->started()) {
        this->answer(notRunResponse("crashing_request", "a part of the prompt has crashed the upstreams that ran it", admission.retryAfter),
                     "prompt_part_quarantined");
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

void OnlineCall::chargePromptParts(const UpstreamInfo &upstream)
{
    ++this->lostAttempts;
    const absl::Time now = this->context.attempts.loop.now();
    const PartCrash crash{
        .lost = now, .sent = this->attemptStarted, .upstreamStart = stableHash(stableHash(upstream.id), std::to_string(upstream.startedAtMs))};
    std::vector<std::pair<std::uint64_t, PartChange>> changes;
    // The cause of a failed trial is one of the parts that were on trial.
    for (const std::uint64_t part : this->trialParts.empty() ? this->call.sharedPromptParts : this->trialParts) {
        changes.emplace_back(part, this->context.promptParts.recordCrash(part, crash, now));
    }
    this->reportPartChanges(changes, upstream.id);
}

// Upstreams crash on a part when they begin the answer, so the first content of an answer already shows that none of the parts did it.
void OnlineCall::onAnswerBegun()
{
    if (std::exchange(this->answerBegun, true)) {
        return;
    }
    const absl::Time now = this->context.attempts.loop.now();
    std::vector<std::pair<std::uint64_t, PartChange>> changes;
    for (const std::uint64_t part : this->call.sharedPromptParts) {
        changes.emplace_back(part, this->context.promptParts.recordAnswer(part, now));
    }
    this->reportPartChanges(changes, this->attempt ? std::string_view(this->attempt->upstream().id) : std::string_view());
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

void OnlineCall::updateCrashRecord(const AttemptResult &result, const std::string &upstream)
{
    const absl::Time now = this->context.attempts.loop.now();
    if (result.outcome == AttemptOutcome::MayHaveRun && result.connectionLost) {
        if (const auto crashes = this->context.suspects.recordCrash(this->fingerprint, upstream, this->attemptStarted, now)) {
            this->context.log.write("request_suspected",
                                    {{"request", this->call.id}, {"upstream", upstream}, {"crashes", static_cast<std::uint64_t>(*crashes)}});
            this->context.announceCrashes({this->context.suspects.count(this->fingerprint)});
        }
    } else if (result.outcome == AttemptOutcome::Completed && this->context.suspects.recordCompletion(this->fingerprint, now)) {
        this->context.announceCrashes({CrashCount{this->fingerprint}});
    }
}

void OnlineCall::finishStream()
{
    if (!this->exchange->started()) {
        this->exchange->startBody(this->streamHead);
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
    this->answer(response, "upstream_answer");
}

void OnlineCall::checkProgress(absl::Time now)
{
    if (this->finished || !this->attempt || !this->trialParts.empty() || !this->retryPolicy.mayReplace(now)) {
        return;
    }
    const std::string upstream = this->attempt->upstream().id;
    const absl::Duration silent = now - this->attempt->lastActivity();
    if (silent < this->silenceLimit(now)) {
        return;
    }
    const UpstreamInfo *replacement = this->context.choice.chooseForOnline(this->service, this->triedUpstreams, now, this->requiredVersion());
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
    UpstreamAttempt::stopAndDestroyLater(this->context.attempts.loop, std::move(this->attempt));
    this->startAttempt(*replacement);
}

absl::Duration OnlineCall::silenceLimit(absl::Time now) const
{
    if (this->exchange->started() && this->route.eventGapObjective > absl::ZeroDuration()) {
        return std::max(minSilenceLimit, this->route.eventGapObjective * eventGapShareOfObjective);
    }
    const bool recentlyActive = now - this->context.attempts.health.lastActivity(this->attempt->upstream().id) < recentActivityPeriod;
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
        this->answer(notRunResponse(reason, "no upstream could take the request", this->retryAfter()), reason);
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

void OnlineCall::cutShort(const std::string &reason, const std::string &message)
{
    const bool mayHaveRun = this->attempt != nullptr || this->retryPolicy.state() == CallState::MayHaveRun;
    UpstreamAttempt::stopAndDestroyLater(this->context.attempts.loop, std::move(this->attempt));
    if (this->exchange->started()) {
        this->exchange->abort();
        this->end(0, reason);
    } else if (mayHaveRun) {
        this->answer(unknownOutcomeResponse(reason, message), reason);
    } else {
        this->answer(notRunResponse(reason, message, this->retryAfter()), reason);
    }
}

void OnlineCall::onCallerDisconnected()
{
    UpstreamAttempt::stopAndDestroyLater(this->context.attempts.loop, std::move(this->attempt));
    this->end(0, "caller_left");
}

void OnlineCall::answer(const HttpResponse &response, const std::string &reason)
{
    this->exchange->respond(response);
    this->end(response.head.status, reason);
}

void OnlineCall::end(int status, const std::string &reason)
{
    this->finished = true;
    this->deadlineTimer.cancel();
    const absl::Duration latency = this->context.attempts.loop.now() - this->exchange->received();
    this->context.metrics.recordResponse(this->route.name, status, latency);
    this->context.log.write("answered",
                            {{"request", this->call.id},
                             {"route", this->route.name},
                             {"service", this->service},
                             {"status", status},
                             {"reason", reason},
                             {"attempts", this->attempts},
                             {"latencyMs", latency}});
    const auto self = this->shared_from_this();
    this->onEnded();
}

} // namespace Bergamotramp
