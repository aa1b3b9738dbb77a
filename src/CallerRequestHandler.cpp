#include "CallerRequestHandler.h"

#include <algorithm>
#include <utility>

#include "CallRefusal.h"

namespace Bergamotramp {

CallerRequestHandler::CallerRequestHandler(CallerRequestContext context) : context(std::move(context))
{
}

CallerRequestHandler::~CallerRequestHandler() = default;

void CallerRequestHandler::handle(const std::shared_ptr<HttpExchange> &exchange)
{
    const CallerCall call = this->context.protocol.decodeCall(exchange->request());
    const std::shared_ptr<const RoutingConfig> config = this->context.config();
    if (!config) {
        // Without a configuration it is not known whether the request needs a key.
        exchange->respond(notRunResponse("starting", "this host does not know the configuration yet", startingRetryAfter));
        return;
    }
    if (call.kind != CallKind::Request) {
        this->context.jobCalls.handle(exchange, call, false);
        return;
    }
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

void CallerRequestHandler::refuse(const std::shared_ptr<HttpExchange> &exchange, const CallerCall &call, const KeyRefusal &refusal)
{
    this->context.online.log.write("key_refused", {{"request", call.id}, {"code", refusal.code}});
    this->context.online.metrics.recordRefusal(refusal.code, "");
    exchange->respond(failureResponse(refusal.status, refusal.code, refusal.message, "not_run"));
}

void CallerRequestHandler::admit(const AuthenticatedRequest &request)
{
    const absl::Time deadline = request.exchange->received() + std::min(request.call.timeBudget, request.route->timeout);
    if (!this->context.takesUntil(deadline)) {
        request.exchange->respond(notRunResponse("stopping", "this host is stopping", absl::ZeroDuration()));
        return;
    }
    this->serve(request);
}

void CallerRequestHandler::serve(const AuthenticatedRequest &request)
{
    if (request.route->kind == RouteKind::Batch) {
        this->context.jobCalls.submit(request.exchange, request.call, *request.route);
    } else {
        this->startOnline(request);
    }
}

void CallerRequestHandler::startOnline(const AuthenticatedRequest &request)
{
    const Route &route = *request.route;
    const std::string service = chooseTarget(route, this->context.randomFraction());
    const CallerOrganisation organisation = request.authentication.callerOrganisation(*request.config);
    const auto weakCall = std::make_shared<std::weak_ptr<OnlineCall>>();
    const auto online = std::make_shared<OnlineCall>(this->context.online, request.exchange, request.call, route, organisation, service, [this, weakCall] {
        if (const auto ended = weakCall->lock()) {
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
