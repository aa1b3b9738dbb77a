#include "CallerRequestHandler.h"

#include <algorithm>
#include <utility>

#include "CallRefusal.h"

namespace Bergamotramp {

namespace {

constexpr int tooManyRequests = 429;

void refuseBeforeStart(const std::shared_ptr<HttpExchange> &exchange)
{
    exchange->respond(notRunResponse("starting", "this host does not know the configuration and the upstreams yet", startingRetryAfter));
}

} // namespace

CallerRequestHandler::CallerRequestHandler(CallerRequestContext context) : context(std::move(context))
{
}

CallerRequestHandler::~CallerRequestHandler() = default;

void CallerRequestHandler::handle(const std::shared_ptr<HttpExchange> &exchange)
{
    const CallerCall call = this->context.protocol.decodeCall(exchange->request());
    if (!this->canHandle(call.kind)) {
        this->waitForRouting(exchange, call.kind);
    } else if (call.kind == CallKind::Request) {
        this->handleRequest(exchange, call);
    } else {
        this->handleJobCall(exchange, call, *this->context.config());
    }
}

bool CallerRequestHandler::canHandle(CallKind kind) const
{
    // A call about a job needs no upstream, but without a configuration it is not known whether it needs a key.
    return kind == CallKind::Request ? this->context.routingKnown() : this->context.config() != nullptr;
}

void CallerRequestHandler::waitForRouting(const std::shared_ptr<HttpExchange> &exchange, CallKind kind)
{
    std::erase_if(this->waiting, [](const WaitingRequest &request) { return request.exchange->ended(); });
    if (!this->context.routingExpected() || this->waiting.size() >= maxWaitingRequests) {
        refuseBeforeStart(exchange);
        return;
    }
    LoopTimer timer = this->context.online.attempts.loop.after(maxWaitForRouting, [exchange] { refuseBeforeStart(exchange); });
    this->waiting.push_back({.exchange = exchange, .kind = kind, .timer = std::move(timer)});
}

void CallerRequestHandler::handleWaiting()
{
    std::list<WaitingRequest> ready;
    const auto firstReady =
        std::stable_partition(this->waiting.begin(), this->waiting.end(), [this](const WaitingRequest &request) { return !this->canHandle(request.kind); });
    ready.splice(ready.begin(), this->waiting, firstReady, this->waiting.end());
    for (const WaitingRequest &request : ready) {
        if (!request.exchange->ended()) {
            // An error in one request must not keep the others from being handled.
            this->context.online.attempts.loop.runGuarded([this, &request] { this->handle(request.exchange); });
        }
    }
}

void CallerRequestHandler::handleRequest(const std::shared_ptr<HttpExchange> &exchange, const CallerCall &call)
{
    const std::shared_ptr<const RoutingConfig> config = this->context.config();
    const Route *route = config->match(call.host, exchange->request().path());
    if (route == nullptr) {
        this->context.online.log.write("no_route", {{"request", call.id}, {"path", exchange->request().path()}, {"revision", config->revision}});
        exchange->respond(failureResponse(404, "no_route", "no route begins this path", "not_run"));
        return;
    }
    // Before the key is looked up, because an old configuration may lack a new key as well as the revocation of an old one.
    if (const auto refusal = needsKey(*config, *route) ? this->context.unconfirmedRefusal(call.id) : std::nullopt) {
        exchange->respond(*refusal);
        return;
    }
    const Authentication authentication = authenticate(*config, *route, call);
    if (authentication.refusal) {
        this->refuse(exchange, call, *authentication.refusal);
        return;
    }
    if (call.id.empty()) {
        exchange->respond(failureResponse(400, "no_request_id", "the request has no id", "not_run"));
        return;
    }
    this->admit({.exchange = exchange, .call = call, .config = config, .route = route, .authentication = authentication});
}

void CallerRequestHandler::handleJobCall(const std::shared_ptr<HttpExchange> &exchange, const CallerCall &call, const RoutingConfig &config)
{
    if (const auto refusal = needsKey(config, call) ? this->context.unconfirmedRefusal(call.id) : std::nullopt) {
        exchange->respond(*refusal);
        return;
    }
    const Authentication authentication = authenticateJobCall(config, call);
    if (authentication.refusal) {
        this->refuse(exchange, call, *authentication.refusal);
        return;
    }
    this->context.jobCalls.handle(exchange, call, authentication.callerOrganisation(config));
}

void CallerRequestHandler::refuse(const std::shared_ptr<HttpExchange> &exchange, const CallerCall &call, const KeyRefusal &refusal)
{
    this->context.online.log.write("key_refused", {{"request", call.id}, {"code", refusal.code}});
    this->context.online.metrics.recordRefusal(refusal.code, "");
    exchange->respond(failureResponse(refusal.status, refusal.code, refusal.message, "not_run"));
}

bool CallerRequestHandler::takes(const AuthenticatedRequest &request) const
{
    const absl::Time deadline = request.exchange->received() + std::min(request.call.timeBudget, request.route->timeout);
    if (this->context.takesUntil(deadline)) {
        return true;
    }
    request.exchange->respond(notRunResponse("stopping", "this host is stopping", absl::ZeroDuration()));
    return false;
}

void CallerRequestHandler::admit(const AuthenticatedRequest &request)
{
    if (!this->takes(request)) {
        return;
    }
    const std::shared_ptr<const Organisation> &organisation = request.authentication.organisation;
    // A quota is for online requests. Jobs have a limit of their own, on their waiting tokens.
    if (!organisation || organisation->requestsPerSecond <= 0 || request.route->kind == RouteKind::Batch) {
        this->serve(request, {.admitted = true, .retryAfter = absl::ZeroDuration()});
        return;
    }
    const std::uint64_t number = this->nextAwaiting++;
    this->awaitingQuota.emplace(number, request);
    this->context.admitToQuota(organisation->name, [this, number](const QuotaDecision &decision) {
        // A request that waits when the host ends has been answered, and is no longer here.
        if (const auto waiting = this->awaitingQuota.extract(number)) {
            this->onQuotaDecision(waiting.mapped(), decision);
        }
    });
}

void CallerRequestHandler::onQuotaDecision(const AuthenticatedRequest &request, const QuotaDecision &decision)
{
    if (request.exchange->ended() || (decision.admitted && !this->takes(request))) {
        this->context.giveBackToken(request.authentication.organisation->name, decision);
    } else if (decision.admitted) {
        this->serve(request, decision);
    } else {
        this->refuseBeyondQuota(request, decision.retryAfter);
    }
}

void CallerRequestHandler::refuseBeyondQuota(const AuthenticatedRequest &request, absl::Duration retryAfter)
{
    HttpResponse refusal = notRunResponse("quota", "the organisation has used up its quota", retryAfter);
    refusal.head.status = tooManyRequests;
    request.exchange->respond(refusal);
    const absl::Duration latency = this->context.online.attempts.loop.now() - request.exchange->received();
    this->context.online.metrics.recordResponse(request.route->name, tooManyRequests, latency);
}

void CallerRequestHandler::serve(const AuthenticatedRequest &request, const QuotaDecision &decision)
{
    if (request.route->kind == RouteKind::Batch) {
        const CallerOrganisation organisation = request.authentication.callerOrganisation(*request.config);
        this->context.jobCalls.submit(request.exchange, request.call, *request.route, organisation);
    } else {
        this->startOnline(request, decision);
    }
}

void CallerRequestHandler::startOnline(const AuthenticatedRequest &request, const QuotaDecision &decision)
{
    const Route &route = *request.route;
    const CallerOrganisation organisation = request.authentication.callerOrganisation(*request.config);
    const auto weakCall = std::make_shared<std::weak_ptr<OnlineCall>>();
    const auto online = std::make_shared<OnlineCall>(this->context.online,
                                                     request.exchange,
                                                     request.call,
                                                     route,
                                                     organisation,
                                                     targetOrder(route, this->context.randomFraction()),
                                                     [this, weakCall, decision, owner = request.authentication.organisation] {
                                                         if (const auto ended = weakCall->lock()) {
                                                             if (owner && ended->hasCertainlyNotRun()) {
                                                                 this->context.giveBackToken(owner->name, decision);
                                                             }
                                                             this->calls.erase(ended);
                                                         }
                                                     });
    *weakCall = online;
    this->calls.insert(online);
    online->start();
}

void CallerRequestHandler::checkProgress(absl::Time now)
{
    const std::set<std::shared_ptr<OnlineCall>> current = this->calls;
    for (const auto &call : current) {
        call->checkProgress(now);
    }
}

void CallerRequestHandler::answerBeforeStop()
{
    // Requests that wait for the routing data have been refused long before, because they wait for less time than a stop takes.
    for (const auto &[number, request] : std::exchange(this->awaitingQuota, {})) {
        if (!request.exchange->ended()) {
            request.exchange->respond(notRunResponse("stopping", "this host is stopping", absl::ZeroDuration()));
        }
    }
    const std::set<std::shared_ptr<OnlineCall>> current = this->calls;
    for (const auto &call : current) {
        call->answerBeforeStop();
    }
}

std::size_t CallerRequestHandler::onlineCalls() const
{
    return this->calls.size();
}

} // namespace Bergamotramp
