#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>

#include "CallerAuthentication.h"
#include "JobCallHandler.h"
#include "OnlineCall.h"
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

    bool operator==(const AuthenticatedRequest &) const = default;
};

/** Parts of the entry host that CallerRequestHandler uses. */
struct CallerRequestContext {
    const ServingProtocol &protocol;
    JobCallHandler &jobCalls;
    OnlineContext online;
    /** The configuration in force, or null before the first one. */
    std::function<std::shared_ptr<const RoutingConfig>()> config;
    /** The refusal of a request that needs a key, if this host can't confirm now that the key has not been revoked. */
    std::function<std::optional<HttpResponse>(const std::string &requestId)> unconfirmedRefusal;
    /** Whether a request that may last until the deadline is taken now; false for most requests while the host stops. */
    std::function<bool(absl::Time deadline)> takesUntil;
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

    void handle(const std::shared_ptr<HttpExchange> &exchange);
    /** Lets each online call replace an upstream that has been silent for too long. Called periodically. */
    void checkProgress(absl::Time now);
    /** Answers the online calls whose response has not begun, because the host ends. */
    void answerBeforeStop();
    /** Number of online calls in progress. */
    [[nodiscard]] std::size_t onlineCalls() const;

private:
    void refuse(const std::shared_ptr<HttpExchange> &exchange, const CallerCall &call, const KeyRefusal &refusal);
    /** Decides whether an authenticated request is served now. Checks of quotas belong here. */
    void admit(const AuthenticatedRequest &request);
    void serve(const AuthenticatedRequest &request);
    void startOnline(const AuthenticatedRequest &request);

    CallerRequestContext context;
    std::set<std::shared_ptr<OnlineCall>> calls;
};

} // namespace Bergamotramp
