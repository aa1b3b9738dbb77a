#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <absl/time/time.h>

#include "ProxyForwarder.h"
#include "StandinServer.h"

struct pollfd;

namespace Bergamotramp {

/** Faults that the proxy injects on one route until they are changed. */
struct RouteFaults {
    absl::Duration delayToTarget = absl::ZeroDuration();
    absl::Duration delayToClient = absl::ZeroDuration();
    /** Limit for each direction; 0 for none. */
    std::int64_t bytesPerSecond = 0;
    /** Closes the open connections and refuses new ones. */
    bool cut = false;
    /** Forwards nothing in one direction, like a network link that loses all packets one way. Bytes wait until the fault is removed. */
    bool lossToTarget = false;
    bool lossToClient = false;
    /** Number of replies still to drop: their requests are forwarded, and their connections are closed when the reply arrives. */
    std::int64_t repliesToDrop = 0;

    bool operator==(const RouteFaults &) const = default;
};

/** Which connections of a route stay open but forward nothing. */
enum class RouteFreeze {
    None,
    /** Those open at the time of the call; later ones work. */
    Existing,
    All,
};

/** Counters of one route. */
struct RouteCounters {
    std::uint64_t connections = 0;
    std::uint64_t open = 0;
    std::uint64_t bytesToTarget = 0;
    std::uint64_t bytesToClient = 0;

    bool operator==(const RouteCounters &) const = default;
};

/**
 * TCP proxy that injects network faults. A route is a listening port with its target; faults are set for each route.
 * One thread forwards the bytes of all routes.
 *
 * Control interface: POST /control/routes {"route", "target", "port", "group"} gives {"address"}; GET /control/routes;
 * POST /control/faults {"route", "delayToTargetMs", "delayToClientMs", "bytesPerSecond", "cut", "freeze": "none"|"existing"|"all",
 * "lossToTarget", "lossToClient", "dropAnswers"}, where an absent key leaves its fault unchanged; POST /control/groups {"group", "bytesPerSecond"}.
 */
class FaultProxy
{
public:
    explicit FaultProxy(int controlPort = 0);
    ~FaultProxy();
    FaultProxy(const FaultProxy &) = delete;
    FaultProxy &operator=(const FaultProxy &) = delete;

    /** Address of the control interface. */
    [[nodiscard]] std::string address() const;
    /** Listens on @p port (0 for a free one) for connections to @p target; returns the listening address. */
    std::string addRoute(const std::string &route, const std::string &target, int port = 0, const std::string &group = "");
    void setFaults(const std::string &route, const RouteFaults &faults);
    void freeze(const std::string &route, RouteFreeze freeze);
    [[nodiscard]] RouteFaults faults(const std::string &route);
    [[nodiscard]] RouteCounters counters(const std::string &route);
    /** Limits the total rate of a group's routes, separately for each direction; 0 removes the limit. */
    void setGroupLimit(const std::string &group, std::int64_t bytesPerSecond);

private:
    struct Connection;
    struct Route;
    struct RateLimiters {
        ProxyRateLimiter toTarget;
        ProxyRateLimiter toClient;
    };

    void handleControl(const httplib::Request &request, httplib::Response &response);
    std::string routesJson();
    Route &findRoute(const std::string &route);
    void run();
    void wake();
    void accept(Route &route);
    void processEvents(const std::vector<pollfd> &pollSet, absl::Time now);
    void processRoute(Route &route, const std::vector<pollfd> &pollSet, absl::Time now);
    bool processConnection(Route &route, Connection &connection, const std::vector<pollfd> &pollSet, absl::Time now);
    bool readConnection(Route &route, Connection &connection, short clientEvents, short targetEvents, absl::Time now);
    std::vector<pollfd> buildPollSet(absl::Time now, absl::Time &nextWake);
    std::vector<ProxyRateLimiter *> limitersOf(Route &route, bool toTarget);

    std::mutex mutex;
    std::map<std::string, std::unique_ptr<Route>> routes;
    std::map<std::string, RateLimiters> groups;
    int wakeDescriptor;
    bool stopping = false;
    std::thread thread;
    std::unique_ptr<StandinServer> server;
};

} // namespace Bergamotramp
