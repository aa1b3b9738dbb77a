#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/time/time.h>

#include "HttpServer.h"

namespace Bergamotramp {

/** What may be repeated on a route, and how its answers look. */
enum class RouteKind {
    /** May run more than once. */
    Idempotent,
    /** May run at most once for each attempt of a caller. */
    NonIdempotent,
    /** A stream of events; runs at most once unless it is resumable. */
    Stream,
    /** Jobs of many items that run later. */
    Batch,
};

/** A service that takes a share of a route's requests. */
struct RouteTarget {
    std::string service;
    /** Relative to the other targets of the route. */
    double weight = 1.0;

    bool operator==(const RouteTarget &) const = default;
};

/** Where the requests of one host name and path go, and what is promised for them. */
struct Route {
    std::string name;
    std::string host;
    std::string pathPrefix;
    RouteKind kind = RouteKind::NonIdempotent;
    std::vector<RouteTarget> targets;
    /** Longest time that a caller is kept waiting. */
    absl::Duration timeout = absl::Seconds(30);
    /** Time to the answer, or to the first event of a stream. */
    absl::Duration latencyObjective = absl::Seconds(1);
    /** Longest pause between the events of a stream; zero when there is no objective. */
    absl::Duration pauseObjective = absl::ZeroDuration();
    /** 0 is the most urgent. */
    int priority = 0;
    /** Upstreams that may run one attempt of a caller. */
    int maxAttempts = 1;
    bool resumable = false;
    /** Time from the submission of a job until its results are due. */
    absl::Duration jobDue = absl::InfiniteDuration();
    /** Time from the submission of a job after which its items may be given up. */
    absl::Duration jobRetention = absl::InfiniteDuration();
    /** Tokens of unfinished items over all hosts; 0 means no limit. */
    std::int64_t maxWaitingTokens = 0;

    /** Whether one attempt of a caller may run more than once. */
    [[nodiscard]] bool repeatable() const;

    bool operator==(const Route &) const = default;
};

/** Everything that the operator has set, at one revision of the store. Immutable once it is in force. */
struct RoutingConfig {
    std::uint64_t revision = 0;
    std::int64_t version = 0;
    std::vector<Route> routes{};
    HttpServerBounds callerBounds{};

    /** The route of the host whose prefix is the longest that begins @p path, or null. */
    [[nodiscard]] const Route *match(std::string_view host, std::string_view path) const;

    bool operator==(const RoutingConfig &) const = default;
};

/** The target that a number drawn evenly from 0 to 1 selects, in proportion to the weights. */
const std::string &chooseTarget(const Route &route, double draw);

} // namespace Bergamotramp
