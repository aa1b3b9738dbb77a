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

#include "ProxyLane.h"
#include "StandinServer.h"

struct pollfd;

namespace Bergamotramp {

/** Faults of one route, which hold until they are changed. */
struct RouteFaults {
    absl::Duration delayToTarget = absl::ZeroDuration();
    absl::Duration delayToClient = absl::ZeroDuration();
    /** In each direction; 0 for no limit. */
    std::int64_t bytesPerSecond = 0;
    /** Closes the connections and refuses new ones. */
    bool cut = false;
    /** Holds back the bytes of one direction, as a link does that loses all packets one way. */
    bool lossToTarget = false;
    bool lossToClient = false;
    /** The next replies that are dropped, with their connection, after their requests have passed. */
    std::int64_t dropAnswers = 0;

    bool operator==(const RouteFaults &) const = default;
};

/** Which connections of a route stay open but pass nothing. */
enum class RouteFreeze {
    None,
    /** Those open at the time of the call; new ones work. */
    Existing,
    All,
};

/** What a route has done. */
struct RouteCounters {
    std::uint64_t connections = 0;
    std::uint64_t open = 0;
    std::uint64_t bytesToTarget = 0;
    std::uint64_t bytesToClient = 0;

    bool operator==(const RouteCounters &) const = default;
};

/**
 * TCP proxy with many routes and faults per route. One thread moves the bytes.
 *
 * Control interface: POST /control/routes {"route", "target", "port", "group"} gives {"address"}; GET /control/routes;
 * POST /control/faults {"route", "delayToTargetMs", "delayToClientMs", "bytesPerSecond", "cut", "freeze": "none"|"existing"|"all",
 * "lossToTarget", "lossToClient", "dropAnswers"}, where absent keys keep their values; POST /control/groups {"group", "bytesPerSecond"}.
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
    /** Limits all routes of a group together, in each direction; 0 removes the limit. */
    void setGroupLimit(const std::string &group, std::int64_t bytesPerSecond);

private:
    struct Link;
    struct Route;
    struct Paces {
        ProxyPace toTarget;
        ProxyPace toClient;
    };

    void handleControl(const httplib::Request &request, httplib::Response &response);
    std::string routesJson();
    Route &find(const std::string &route);
    void run();
    void wake();
    void accept(Route &route);
    void serve(const std::vector<pollfd> &polled, absl::Time now);
    void serveRoute(Route &route, const std::vector<pollfd> &polled, absl::Time now);
    bool serveLink(Route &route, Link &link, const std::vector<pollfd> &polled, absl::Time now);
    bool readLink(Route &route, Link &link, short clientEvents, short targetEvents, absl::Time now);
    std::vector<pollfd> interests(absl::Time now, absl::Time &next);
    std::vector<ProxyPace *> pacesOf(Route &route, bool toTarget);

    std::mutex mutex;
    std::map<std::string, std::unique_ptr<Route>> routes;
    std::map<std::string, Paces> groups;
    int wakeDescriptor;
    bool stopping = false;
    std::thread thread;
    std::unique_ptr<StandinServer> server;
};

} // namespace Bergamotramp
