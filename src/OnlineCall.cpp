#include "OnlineCall.h"

#include "CallRefusal.h"
#include "RendezvousHash.h"
#include "WeakCallback.h"

namespace Bergamotramp {

namespace {

// An upstream that answers other requests is only slow or busy; one that sends nothing at all may be gone.
constexpr absl::Duration recentlyHeard = absl::Milliseconds(200);
constexpr double silentShareOfObjective = 0.8;
constexpr double busyShareOfObjective = 1.5;
constexpr double pauseShareOfObjective = 0.6;
constexpr absl::Duration minSilence = absl::Milliseconds(120);
// After a refusal for lack of room; a request of these services takes about a second.
constexpr absl::Duration overloadRetryAfter = absl::Milliseconds(250);
constexpr int gatewayError = 502;
constexpr int gatewayTimeout = 504;

std::string_view nameOf(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::Completed:
        return "completed";
    case AttemptEnd::Failed:
        return "failed";
    case AttemptEnd::NotRun:
        return "not_run";
    case AttemptEnd::MayHaveRun:
        break;
    }
    return "unknown";
}

} // namespace

OnlineCall::OnlineCall(
    const OnlineContext &context, std::shared_ptr<HttpExchange> exchange, CallerCall call, Route route, std::string service, std::function<void()> ended)
    : context(context)
    , exchange(std::move(exchange))
    , call(std::move(call))
    , route(std::move(route))
    , service(std::move(service))
    , ended(std::move(ended))
    , deadline(this->exchange->received() + std::min(this->call.timeBudget, this->route.timeout))
    , policy(this->route.repeatable(), this->route.maxAttempts, this->deadline)
    , fingerprint(stableHash(stableHash(this->exchange->request().target), this->exchange->request().body))
    , lastEvent(this->call.resumeAfter)
{
}

void OnlineCall::start()
{
    const absl::Time now = this->context.attempts.loop.now();
    this->deadlineTimer = this->context.attempts.loop.after(this->deadline - now, whileAlive(this->weak_from_this(), &OnlineCall::expire));
    this->exchange->onCallerLeft(whileAlive(this->weak_from_this(), &OnlineCall::callerLeft));
    if (this->context.suspects.convicted(this->fingerprint, now)) {
        this->answer(notRunResponse("crashing_request", "this request has crashed each upstream that ran it", absl::Seconds(5)), "convicted");
        return;
    }
    this->attemptNext();
}

void OnlineCall::attemptNext()
{
    const absl::Time now = this->context.attempts.loop.now();
    const UpstreamInfo *upstream = this->context.choice.forOnline(this->service, this->tried, now);
    if (upstream == nullptr && !this->tried.empty()) {
        // All were tried; one that refused may have room by now.
        upstream = this->context.choice.forOnline(this->service, {}, now);
    }
    if (upstream == nullptr) {
        this->giveUp(this->context.upstreams.available(this->service).empty() ? "no_upstream" : "no_room");
        return;
    }
    this->send(*upstream);
}

void OnlineCall::send(const UpstreamInfo &upstream)
{
    ++this->attempts;
    this->tried.insert(upstream.id);
    const absl::Time now = this->context.attempts.loop.now();
    const bool stream = this->route.kind == RouteKind::Stream;
    UpstreamAttempt::Hooks hooks{.streamStarted = whileAlive(this->weak_from_this(), &OnlineCall::onStreamStarted),
                                 .event = whileAlive(this->weak_from_this(), &OnlineCall::onEvent),
                                 .ended = whileAlive(this->weak_from_this(), &OnlineCall::onAttemptEnded)};
    const ClassCounts load = this->context.attempts.load.total(upstream.id, now);
    this->context.log.write("attempt",
                            {{"request", this->call.id},
                             {"route", this->route.name},
                             {"upstream", upstream.id},
                             {"number", this->attempts},
                             {"online", load.online},
                             {"batch", load.batch},
                             {"leftMs", this->deadline - now}});
    this->attempt = std::make_unique<UpstreamAttempt>(this->context.attempts, upstream, false, stream, std::move(hooks));
    const HttpRequest request =
        this->context.attempts.protocol.prepareAttempt(this->exchange->request(), upstream, {.timeLeft = this->deadline - now, .resumeAfter = this->lastEvent});
    this->attempt->send(request, this->call.id, this->route.repeatable());
}

void OnlineCall::onStreamStarted(const HttpHead &head)
{
    if (!this->exchange->started()) {
        // Sent with the first event, so that an upstream that fails before it can still be replaced.
        this->streamHead = {.status = head.status, .fields = head.fields.endToEnd()};
    }
}

void OnlineCall::onEvent(const StreamEvent &event)
{
    if (this->finished) {
        return;
    }
    if (event.id) {
        if (this->lastEvent && *event.id <= *this->lastEvent) {
            return;
        }
        if (this->lastEvent && *event.id != *this->lastEvent + 1) {
            this->onAttemptEnded({.end = AttemptEnd::MayHaveRun});
            return;
        }
        this->lastEvent = event.id;
    }
    if (!this->exchange->started()) {
        this->exchange->startBody(this->streamHead);
        this->context.metrics.firstEvent(this->route.name, this->context.attempts.loop.now() - this->exchange->received());
    }
    this->exchange->sendBody(event.frame);
}

void OnlineCall::onAttemptEnded(const AttemptResult &result)
{
    if (this->finished) {
        return;
    }
    const UpstreamInfo upstream = this->attempt->upstream();
    UpstreamAttempt::retire(this->context.attempts.loop, std::move(this->attempt));
    this->context.metrics.attemptEnded(this->service, std::string(nameOf(result.end)));
    this->noteCrash(result);
    const bool streamed = this->route.kind == RouteKind::Stream && result.head.status / 100 == 2;
    if (result.end == AttemptEnd::Completed) {
        if (streamed && result.body.empty()) {
            this->finishStream();
        } else {
            this->deliver(result);
        }
        return;
    }
    this->context.log.write("attempt_ended",
                            {{"request", this->call.id},
                             {"upstream", upstream.id},
                             {"end", nameOf(result.end)},
                             {"status", result.head.status},
                             {"disconnected", result.disconnected}});
    if (this->policy.mayRepeat(result.end, this->context.attempts.loop.now())) {
        this->attemptNext();
    } else if (result.end == AttemptEnd::Failed && !this->exchange->started()) {
        this->deliver(result);
    } else {
        this->giveUp(result.end == AttemptEnd::NotRun ? "refused_by_upstreams" : "upstream_failed");
    }
}

void OnlineCall::noteCrash(const AttemptResult &result)
{
    if (result.end == AttemptEnd::MayHaveRun && result.disconnected) {
        this->context.crashed(this->context.suspects.crashed({this->fingerprint}, this->context.attempts.loop.now()));
    } else if (result.end == AttemptEnd::Completed) {
        this->context.suspects.clear(this->fingerprint);
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

void OnlineCall::deliver(const AttemptResult &result)
{
    if (this->exchange->started()) {
        // A stream that goes on elsewhere was answered with something else.
        this->giveUp("not_resumed");
        return;
    }
    const HttpResponse response{.head = {.status = result.head.status, .fields = result.head.fields.endToEnd()}, .body = result.body};
    this->answer(response, "upstream_answer");
}

void OnlineCall::checkProgress(absl::Time now)
{
    if (this->finished || !this->attempt || !this->policy.mayReplace(now)) {
        return;
    }
    const std::string upstream = this->attempt->upstream().id;
    const absl::Duration silent = now - this->attempt->lastProgress();
    if (silent < this->silenceLimit(now)) {
        return;
    }
    const UpstreamInfo *other = this->context.choice.forOnline(this->service, this->tried, now);
    if (other == nullptr) {
        return;
    }
    this->context.log.write("attempt_replaced", {{"request", this->call.id}, {"upstream", upstream}, {"silentMs", silent}});
    if (now - this->context.attempts.health.lastHeard(upstream) > recentlyHeard) {
        this->context.attempts.health.failed(upstream, now);
    }
    this->policy.replaced();
    UpstreamAttempt::retire(this->context.attempts.loop, std::move(this->attempt));
    this->send(*other);
}

absl::Duration OnlineCall::silenceLimit(absl::Time now) const
{
    if (this->exchange->started() && this->route.pauseObjective > absl::ZeroDuration()) {
        return std::max(minSilence, this->route.pauseObjective * pauseShareOfObjective);
    }
    const bool answersOthers = now - this->context.attempts.health.lastHeard(this->attempt->upstream().id) < recentlyHeard;
    return std::max(minSilence, this->route.latencyObjective * (answersOthers ? busyShareOfObjective : silentShareOfObjective));
}

absl::Duration OnlineCall::retryAfter() const
{
    return overloadRetryAfter;
}

void OnlineCall::giveUp(const std::string &reason)
{
    if (this->exchange->started()) {
        this->exchange->abort();
        this->end(0, reason);
    } else if (this->policy.state() == CallState::NotRun) {
        this->answer(notRunResponse(reason, "no upstream could take the request", this->retryAfter()), reason);
    } else {
        this->answer(failureResponse(gatewayError, reason, "the upstream ended without an answer", "unknown"), reason);
    }
}

void OnlineCall::expire()
{
    const bool sent = this->attempt != nullptr || this->policy.state() == CallState::MayHaveRun;
    UpstreamAttempt::retire(this->context.attempts.loop, std::move(this->attempt));
    if (this->exchange->started()) {
        this->exchange->abort();
        this->end(0, "timeout");
    } else if (sent) {
        this->answer(failureResponse(gatewayTimeout, "timeout", "no answer within the time-out", "unknown"), "timeout");
    } else {
        this->answer(notRunResponse("timeout", "no upstream took the request within the time-out", this->retryAfter()), "timeout");
    }
}

void OnlineCall::callerLeft()
{
    UpstreamAttempt::retire(this->context.attempts.loop, std::move(this->attempt));
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
    this->context.metrics.answered(this->route.name, status, latency);
    this->context.log.write("answered",
                            {{"request", this->call.id},
                             {"route", this->route.name},
                             {"service", this->service},
                             {"status", status},
                             {"reason", reason},
                             {"attempts", this->attempts},
                             {"latencyMs", latency}});
    const auto self = this->shared_from_this();
    this->ended();
}

} // namespace Bergamotramp
