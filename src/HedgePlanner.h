#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include "HedgePolicy.h"
#include "LatencyScore.h"

namespace Bergamotramp {

/** The share of the requests that may be hedged, 0 to 1, and the latency percentile, 0 to 1, after which they are. */
struct HedgeLimits {
    double share = 0.0;
    double percentile = 0.95;

    bool operator==(const HedgeLimits &) const = default;
};

/** What is known of a request on which its latency depends. */
struct HedgeSubject {
    std::string service;
    std::string route;
    /** 0 if unknown. */
    std::uint64_t promptTokens = 0;

    bool operator==(const HedgeSubject &) const = default;
};

/**
 * Decides for the online requests of one EntryHost when a second attempt may start. Keeps for each service the latencies of its classes of
 * requests, the speed of its upstreams, and one budget for hedges and retries.
 */
class HedgePlanner
{
public:
    /** Upstreams of one service whose speed is kept; when there are more, all speeds are learned anew. */
    static constexpr std::size_t maxUpstreams = 4096;

    explicit HedgePlanner(const HedgeLimits &limits);

    /** Counts a request whose first attempt starts. */
    void onRequest(const std::string &service, absl::Time now);
    /** Counts an attempt that replaces one that may have run. */
    void recordRetry(const std::string &service, absl::Time now);
    /** Records how long an attempt took to the first event of its stream, or to its whole answer. */
    void recordAnswer(const HedgeSubject &subject, const std::string &upstream, absl::Duration latency, absl::Time now);
    /** Records a first attempt that had run for @p waited without an answer when its hedge won. */
    void recordLost(const HedgeSubject &subject, const std::string &upstream, absl::Duration waited, absl::Time now);
    /** Wait for the answer of an attempt at @p upstream after which a hedge is useful; nothing until enough requests have completed. */
    [[nodiscard]] std::optional<absl::Duration> delay(const HedgeSubject &subject, const std::string &upstream, absl::Time now) const;
    /** Whether a hedge may start for a request that has waited @p waited at @p upstream. Takes it from the budget. */
    bool tryHedge(const HedgeSubject &subject, const std::string &upstream, absl::Duration waited, absl::Time now, absl::Time deadline);

private:
    struct Service {
        HedgePolicy policy;
        LatencyScore speeds;
        std::vector<std::string> upstreams;
    };

    Service &serviceOf(const std::string &name);
    /** The latency as a multiple of the median of ordinary upstreams; nothing until enough requests have completed. */
    [[nodiscard]] static std::optional<double> relativeLatency(const Service &service, const HedgeSubject &subject, absl::Duration latency);
    /** The latency class of the request at an upstream with this score; the one of ordinary upstreams until the first has enough answers. */
    [[nodiscard]] static LatencyClass measuredClass(const Service &service, const HedgeSubject &subject, double score);
    static void addUpstream(Service &service, const std::string &upstream);
    static void recordInClass(Service &service, const HedgeSubject &subject, const std::string &upstream, absl::Duration latency, absl::Time now);

    HedgeLimits limits;
    absl::flat_hash_map<std::string, std::unique_ptr<Service>> services;
};

} // namespace Bergamotramp
