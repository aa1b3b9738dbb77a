#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <absl/time/time.h>

namespace Bergamotramp {

/** Whether the requests of a route may run more than once, and what form their responses have. */
enum class RouteKind {
    /** A request may run more than once. */
    Idempotent,
    /** A request runs at most once each time that a caller sends it. */
    NonIdempotent,
    /** The response is a stream of events. A request runs at most once unless the stream is resumable. */
    Stream,
    /** Jobs of many items that run asynchronously. */
    Batch,
};

/** A service that receives a share of a route's requests. */
struct RouteTarget {
    std::string service;
    /** Share of the requests, relative to the weights of the other targets of the route. */
    double weight = 1.0;

    bool operator==(const RouteTarget &) const = default;
};

/** The services that requests with one host name and path prefix go to, and the objectives and limits for these requests. */
struct Route {
    std::string name;
    std::string host;
    std::string pathPrefix;
    RouteKind kind = RouteKind::NonIdempotent;
    std::vector<RouteTarget> targets;
    /** Time after which a request that has not completed fails. */
    absl::Duration timeout = absl::Seconds(30);
    /** Objective for the time to the response, or to the first event of a stream. */
    absl::Duration latencyObjective = absl::Seconds(1);
    /** Objective for the longest gap between events of a stream; zero when there is none. */
    absl::Duration eventGapObjective = absl::ZeroDuration();
    /** 0 is the most urgent. */
    int priority = 0;
    /** Maximum number of upstreams that may run a request each time that a caller sends it. */
    int maxAttempts = 1;
    bool resumable = false;
    /** Whether requests need no key although the configuration has organisations. */
    bool isPublic = false;
    /** Time from a job's submission until its results are due. */
    absl::Duration jobDue = absl::InfiniteDuration();
    /** Time from a job's submission after which its unfinished items may be abandoned. */
    absl::Duration jobRetention = absl::InfiniteDuration();
    /** Limit on the tokens of unfinished items over all hosts; 0 means no limit. */
    std::int64_t maxWaitingTokens = 0;

    /** Whether a request that a caller sends once may run more than once. */
    [[nodiscard]] bool repeatable() const;

    bool operator==(const Route &) const = default;
};

/**
 * The services of a route in the order in which a request or item uses them. The first is drawn in proportion to the weights, and each
 * further one likewise from those that are left. Services without a weight are left out if others have one. @p fraction is a uniformly
 * distributed number from 0 to 1.
 */
std::vector<std::string> targetOrder(const Route &route, double fraction);

/** The first service of @p order that has an upstream, or the first one if none has. */
const std::string &chooseTarget(const std::vector<std::string> &order, const std::function<bool(const std::string &service)> &hasUpstream);

} // namespace Bergamotramp
