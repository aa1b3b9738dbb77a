#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/time/time.h>

#include "LatencyScore.h"
#include "SlotTypes.h"

namespace Bergamotramp {

/** Counts the requests in flight at each upstream of a pool, and selects upstreams by these counts and their latency. */
class UpstreamLoad
{
public:
    struct Choice {
        std::string upstream;
        std::string address;
        /** The upstream is ejected, and this request tests whether it has recovered. */
        bool probe = false;
    };
    struct Entry {
        PoolUpstream spec;
        std::int64_t inFlight = 0;
        std::int64_t probes = 0;
        absl::Time lastProbe = absl::InfinitePast();
        /** Reserved for one request that runs alone, because upstreams crashed while running it. */
        bool isolated = false;
        /** Gets no new work, so that it becomes idle for a request that has to run alone. */
        bool draining = false;
        /** No longer in the catalogue; kept while requests are in flight. */
        bool removed = false;
    };

    /** Replaces the set of upstreams and keeps the in-flight counts. */
    void setUpstreams(const std::vector<PoolUpstream> &specs);
    void add(const std::string &upstream, bool probe, absl::Time now);
    void remove(const std::string &upstream, bool probe);
    void setIsolated(const std::string &upstream, bool isolated);
    /** Marks @p upstream as the only one that is being drained; none if it is empty. */
    void setDraining(std::string_view upstream);

    /** An ejected upstream whose probe is due; if there is none, the one with the lowest expected wait that has a free slot. */
    [[nodiscard]] std::optional<Choice> choose(wire::WorkClass workClass, const std::vector<std::string> &excluded, absl::Time now) const;
    /** Like choose(), but only an ejected upstream whose probe is due. */
    [[nodiscard]] std::optional<Choice> chooseProbe(wire::WorkClass workClass, const std::vector<std::string> &excluded, absl::Time now) const;
    /** Like choose(), but compares only two upstreams, which the random numbers select. */
    [[nodiscard]] std::optional<Choice> chooseOfTwo(
        wire::WorkClass workClass, const std::vector<std::string> &excluded, std::uint64_t firstRandom, std::uint64_t secondRandom, absl::Time now) const;
    /** An idle upstream for a request that has to run alone. If no upstream is usable, an idle one whose probe is due. */
    [[nodiscard]] std::optional<Choice> chooseIdle(wire::WorkClass workClass, absl::Time now) const;
    /** The upstream with the fewest requests in flight; the one that is already being drained is kept. */
    [[nodiscard]] std::optional<std::string> chooseToDrain() const;

    /** Whether any upstream accepts new work, that is, is neither leaving nor removed. */
    [[nodiscard]] bool anyTakesWork() const;
    /** Whether choose() finds an upstream for a request without exclusions. */
    [[nodiscard]] bool hasRoom(wire::WorkClass workClass, absl::Time now) const;
    [[nodiscard]] std::int64_t usableSlots() const;
    [[nodiscard]] std::int64_t freeSlots() const;
    /** Number of requests in flight beyond the upstream's slots. */
    [[nodiscard]] std::int64_t excessRequests(const std::string &upstream) const;
    /** Whether a request with these exclusions could use a slot that becomes free at the upstream. */
    [[nodiscard]] bool canUseFreedSlot(const std::string &upstream, const std::vector<std::string> &excluded) const;

    [[nodiscard]] LatencyScore &latency();
    [[nodiscard]] const LatencyScore &latency() const;
    [[nodiscard]] const std::map<std::string, Entry, std::less<>> &entries() const;

private:
    [[nodiscard]] bool usable(const Entry &entry) const;
    [[nodiscard]] bool probeDue(const Entry &entry, wire::WorkClass workClass, absl::Time now) const;
    [[nodiscard]] std::vector<const Entry *> candidates(const std::vector<std::string> &excluded) const;
    [[nodiscard]] double expectedWait(const Entry &entry, absl::Time now) const;
    [[nodiscard]] bool anyUsable(const std::vector<std::string> &excluded) const;

    std::map<std::string, Entry, std::less<>> upstreams;
    LatencyScore scores;
};

} // namespace Bergamotramp
