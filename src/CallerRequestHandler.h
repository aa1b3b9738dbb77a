#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "CallerAuthentication.h"
#include "JobCallHandler.h"
#include "OnlineCall.h"
#include "OrganisationQuotas.h"
#include "RoutingConfig.h"

namespace Bergamotramp {

/** An authenticated request on a route, with what it takes to serve it later: it may wait for an asynchronous decision. */
struct AuthenticatedRequest {
    std::shared_ptr<HttpExchange> exchange;
    CallerCall call;
    /** The configuration under which the caller was authenticated; owns the route. */
    std::shared_ptr<const RoutingConfig> config;
    const Route *route = nullptr;
    /** Without a refusal; the organisation is null when none is needed. */
    Authentication authentication;
};

/** Parts of the entry host that CallerRequestHandler uses. */
struct CallerRequestContext {
    const ServingProtocol &protocol;
    JobCallHandler &jobCalls;
    OnlineContext online;
    /** The configuration in force, or null before the first one. */
    std::function<std::shared_ptr<const RoutingConfig>()> config;
    /** Whether this host knows the configuration and the upstreams. */
    std::function<bool()> routingKnown;
    /** Whether it will know them within a moment, because it is starting and the store answers. */
    std::function<bool()> routingExpected;
    /** The refusal of a request that needs a key, if this host can't confirm now that the key has not been revoked. */
    std::function<std::optional<HttpResponse>(const std::string &requestId)> unconfirmedRefusal;
    /** Whether a request that may last until the deadline is taken now; false for most requests while the host stops. */
    std::function<bool(absl::Time deadline)> takesUntil;
    /** Decides whether a request is within the quota of its organisation, at once or some tens of milliseconds later. */
    std::function<void(const std::string &organisation, std::function<void(const QuotaDecision &)> done)> admitToQuota;
    /** Takes back the token of a request that has certainly not run. */
    std::function<void(const std::string &organisation, const QuotaDecision &)> giveBackToken;
    /** A uniformly distributed number from 0 to 1. */
    std::function<double()> randomFraction;
};

/** Decides what becomes of each request on the address for callers: an online call, a call about jobs, or a refusal. Owns the online calls. */
class CallerRequestHandler
{
public:
    explicit CallerRequestHandler(CallerRequestContext context);
    ~CallerRequestHandler();
    CallerRequestHandler(const CallerRequestHandler &) = delete;
    CallerRequestHandler &operator=(const CallerRequestHandler &) = delete;

    /** Requests beyond this number do not wait for the configuration and the upstreams. */
    static constexpr std::size_t maxWaitingRequests = 200;
    /** How long a request waits for them at most. */
    static constexpr absl::Duration maxWaitForRouting = absl::Milliseconds(300);

    void handle(const std::shared_ptr<HttpExchange> &exchange);
    /** Handles the requests that wait for the configuration or the upstreams, as far as these are known now. */
    void handleWaiting();
    /** Lets each online call replace an upstream that has been silent for too long. Called periodically. */
    void checkProgress(absl::Time now);
    /** Answers the requests that wait for a quota and the online calls whose response has not begun, because the host ends. */
    void answerBeforeStop();
    /** Number of online calls in progress. */
    [[nodiscard]] std::size_t onlineCalls() const;

private:
    struct WaitingRequest {
        std::shared_ptr<HttpExchange> exchange;
        CallKind kind = CallKind::Request;
        /** Refuses the request when it has waited for too long. */
        LoopTimer timer;
    };

    /** Whether this host knows enough to handle a call of this kind. */
    [[nodiscard]] bool canHandle(CallKind kind) const;
    /** Keeps a request that arrived before the routing data, or refuses it when they are not expected. */
    void waitForRouting(const std::shared_ptr<HttpExchange> &exchange, CallKind kind);
    void handleRequest(const std::shared_ptr<HttpExchange> &exchange, const CallerCall &call);
    void handleJobCall(const std::shared_ptr<HttpExchange> &exchange, const CallerCall &call, const RoutingConfig &config);
    void refuse(const std::shared_ptr<HttpExchange> &exchange, const CallerCall &call, const KeyRefusal &refusal);
    /** Admits an authenticated request, after the decision on its organisation's quota if it has one. */
    void admit(const AuthenticatedRequest &request);
    void onQuotaDecision(const AuthenticatedRequest &request, const QuotaDecision &decision);
    void refuseBeyondQuota(const AuthenticatedRequest &request, absl::Duration retryAfter);
    /** Whether the host may still take the request although it stops. Refuses it otherwise. */
    [[nodiscard]] bool takes(const AuthenticatedRequest &request) const;
    void serve(const AuthenticatedRequest &request, const QuotaDecision &decision);
    void startOnline(const AuthenticatedRequest &request, const QuotaDecision &decision);

    CallerRequestContext context;
    std::set<std::shared_ptr<OnlineCall>> calls;
    std::list<WaitingRequest> waiting;
    /** Requests that wait for the decision on their organisation's quota. */
    std::map<std::uint64_t, AuthenticatedRequest> awaitingQuota;
    std::uint64_t nextAwaiting = 0;
};

} // namespace Bergamotramp
