#pragma once

#include <functional>
#include <memory>
#include <set>

#include "JobCallHandler.h"
#include "OnlineCall.h"
#include "RoutingConfig.h"

namespace Bergamotramp {

/** Parts of the entry host that CallerRequestHandler uses. */
struct CallerRequestContext {
    const ServingProtocol &protocol;
    JobCallHandler &jobCalls;
    OnlineContext online;
    /** The configuration in force, or null before the first one. */
    std::function<std::shared_ptr<const RoutingConfig>()> config;
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
    void handleRouted(const std::shared_ptr<HttpExchange> &exchange, const CallerCall &call, const Route &route);
    void startOnline(const std::shared_ptr<HttpExchange> &exchange, const CallerCall &call, const Route &route);

    CallerRequestContext context;
    std::set<std::shared_ptr<OnlineCall>> calls;
};

} // namespace Bergamotramp
