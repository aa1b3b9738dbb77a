#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include <absl/time/time.h>
#include <nlohmann/json.hpp>

namespace Bergamotramp {

/** A service file is invalid; the message names the file, the key and the accepted values. */
class ServiceFileError : public std::runtime_error
{
public:
    ServiceFileError(const std::string &file, const std::string &problem);
};

enum class ServiceKind {
    Model,
    Plain,
};

/** One upstream of a service. The address is "IP:port". */
struct UpstreamSpec {
    std::string name;
    std::string address;
    std::string region;
    std::string dataCentre;
    /** A leaving upstream gets no new requests. */
    bool leaving = false;

    bool operator==(const UpstreamSpec &) const = default;
};

/** Whether calls under a path prefix of a plain service are idempotent, so that they may run more than once. */
struct RouteSpec {
    std::string pathPrefix;
    bool idempotent = false;

    bool operator==(const RouteSpec &) const = default;
};

/** Objectives of online requests. */
struct OnlineObjective {
    absl::Duration firstToken = absl::Milliseconds(1200);
    absl::Duration betweenTokens = absl::Milliseconds(39);
    /** Time until the deadline of a request whose caller sets none. */
    absl::Duration deadline = absl::Seconds(60);
    /** Share of slots, 0 to 1, that batch requests leave free in addition to those that recent online arrivals need. */
    double reserveShare = 0.1;

    bool operator==(const OnlineObjective &) const = default;
};

/** Objectives of batch jobs. */
struct BatchObjective {
    absl::Duration due = absl::Hours(8);
    double weight = 1.0;
    std::int64_t maxAttempts = 4;

    bool operator==(const BatchObjective &) const = default;
};

/** Limits on retries and hedged attempts. The shares are of the service's requests, 0 to 1. */
struct RepeatLimits {
    std::int64_t maxAttempts = 3;
    double retryBudgetShare = 0.1;
    double hedgeBudgetShare = 0.03;
    /** An idempotent request is hedged when it takes longer than this latency percentile, 0 to 1. */
    double hedgePercentile = 0.95;

    bool operator==(const RepeatLimits &) const = default;
};

/** Immutable description of a service, read from its service file. A plain service is one that does not serve a model. */
struct ServiceSpec {
    std::string name;
    ServiceKind kind = ServiceKind::Model;
    std::string model;
    std::string adapter;
    std::string version;
    std::int64_t slotsPerUpstream = 8;
    std::vector<UpstreamSpec> upstreams;
    std::vector<RouteSpec> routes;
    OnlineObjective online;
    BatchObjective batch;
    RepeatLimits repeat;
    /** Whether the upstreams refuse load orders (see OrderService) with an outdated fencing token. */
    bool fencingHonoured = false;

    bool operator==(const ServiceSpec &) const = default;

    /** Parses a service file; throws ServiceFileError. */
    static ServiceSpec parse(const std::string &file, std::string_view text);
    /** Reads a service from a JSON value; throws JsonError. */
    static ServiceSpec fromJson(const nlohmann::json &json, const std::string &path);
    [[nodiscard]] nlohmann::json toJson() const;

    /** Whether calls of @p path are idempotent. Calls of model services always are. */
    [[nodiscard]] bool isIdempotent(std::string_view path) const;
};

} // namespace Bergamotramp
