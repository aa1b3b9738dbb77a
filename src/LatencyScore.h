#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <absl/time/time.h>

namespace Bergamotramp {

/**
 * Scores the upstreams of one pool by the latency that callers observed, relative to the median of the pool. 1 is the
 * median, 5 means five times slower. Holds one entry per upstream of the pool.
 */
class LatencyScore
{
public:
    /** Replaces the set of upstreams; the history of those that stay is kept. */
    void setUpstreams(const std::vector<std::string> &names);
    /** Takes a finished or partial observation; a zero duration was not observed. */
    void record(std::string_view upstream, absl::Duration firstToken, absl::Duration betweenTokens, absl::Time now);
    /** Takes a request that failed on the upstream. */
    void recordFailure(std::string_view upstream, absl::Time now);
    /** Takes the death of an upstream; it stays ejected until a request on it succeeds. */
    void recordDeath(std::string_view upstream, absl::Time now);

    [[nodiscard]] double score(std::string_view upstream, absl::Time now) const;
    /** Whether the upstream only gets probe requests. */
    [[nodiscard]] bool ejected(std::string_view upstream) const;

private:
    /** Moving average of the logarithm of a duration, so that one straggler does not dominate. */
    struct Average {
        double logSeconds = 0.0;
        std::size_t samples = 0;

        void add(absl::Duration value, double weight);
    };
    struct History {
        Average firstToken;
        Average betweenTokens;
        double failureShare = 0.0;
        double score = 1.0;
        std::size_t samples = 0;
        absl::Time lastSample = absl::InfinitePast();
        bool slow = false;
        bool dead = false;
    };

    History *find(std::string_view upstream);
    [[nodiscard]] const History *find(std::string_view upstream) const;
    void refresh();
    void refreshEjection();

    std::map<std::string, History, std::less<>> histories;
};

} // namespace Bergamotramp
