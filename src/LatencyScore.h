#pragma once

#include <cstddef>
#include <map>
#include <optional>
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
    /** Takes what an answer or its progress showed; a zero duration was not observed. */
    void record(std::string_view upstream, absl::Duration firstToken, absl::Duration betweenTokens, absl::Time now);
    /** Takes what a cancelled attempt had observed so far, as lower bounds; ordinary values are ignored. */
    void recordCancelled(std::string_view upstream, absl::Duration firstToken, absl::Duration betweenTokens, absl::Time now);
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
    void add(History &history, absl::Duration firstToken, absl::Duration betweenTokens, double weight, absl::Time now);
    void refresh();
    void refreshEjection();

    std::map<std::string, History, std::less<>> histories;
    /** Of all upstreams, as logarithms. */
    std::optional<double> firstTokenMedian;
    std::optional<double> betweenTokensMedian;
};

} // namespace Bergamotramp
