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
 * Scores the upstreams of one pool by the latency that hosts observed, relative to the median of the pool. A score of 1
 * is the median, 5 means five times slower; failures raise it. Holds one entry per upstream of the pool.
 */
class LatencyScore
{
public:
    /** Replaces the set of upstreams; the history of those that stay is kept. */
    void setUpstreams(const std::vector<std::string> &names);
    /** Records the latency of a complete answer or of its progress; a zero duration was not observed. */
    void record(std::string_view upstream, absl::Duration firstToken, absl::Duration betweenTokens, absl::Time now);
    /**
     * Records what a cancelled attempt had observed so far, as lower bounds; values that are not clearly above the
     * median are ignored.
     */
    void recordCancelled(std::string_view upstream, absl::Duration firstToken, absl::Duration betweenTokens, absl::Time now);
    /** Records a request that failed on the upstream. */
    void recordFailure(std::string_view upstream, absl::Time now);
    /** Records the crash of an upstream; it stays ejected until a request on it succeeds. */
    void recordCrash(std::string_view upstream, absl::Time now);

    /** The score, which decays to 1 while there are no new samples; 1 for an unknown upstream. */
    [[nodiscard]] double score(std::string_view upstream, absl::Time now) const;
    /** Whether the upstream only gets probe requests. */
    [[nodiscard]] bool ejected(std::string_view upstream) const;

private:
    /** Moving average of the logarithm of a duration, so that one outlier does not dominate. */
    struct LogAverage {
        double logSeconds = 0.0;
        std::size_t samples = 0;

        void add(absl::Duration value, double weight);
    };
    struct History {
        LogAverage firstToken;
        LogAverage betweenTokens;
        /** Moving average of the share of failed requests. */
        double failureShare = 0.0;
        double score = 1.0;
        std::size_t samples = 0;
        absl::Time lastSample = absl::InfinitePast();
        bool slow = false;
        bool crashed = false;
    };

    History *find(std::string_view upstream);
    [[nodiscard]] const History *find(std::string_view upstream) const;
    void add(History &history, absl::Duration firstToken, absl::Duration betweenTokens, double weight, absl::Time now);
    void updateScores();
    void updateEjections();

    std::map<std::string, History, std::less<>> histories;
    /** Medians over all upstreams, as natural logarithms of seconds. */
    std::optional<double> firstTokenMedian;
    std::optional<double> betweenTokensMedian;
};

} // namespace Bergamotramp
