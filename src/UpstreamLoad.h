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

/** In-flight requests of each upstream of a pool, and the choice between upstreams. */
class UpstreamLoad
{
public:
    struct Choice {
        std::string upstream;
        std::string address;
        /** The upstream is ejected and this request finds out whether it recovered. */
        bool probe = false;
    };
    struct Entry {
        PoolUpstream spec;
        std::int64_t inFlight = 0;
        std::int64_t probes = 0;
        absl::Time lastProbe = absl::InfinitePast();
        /** Reserved for one request that runs alone. */
        bool isolated = false;
        /** Gets no new work until a suspect can run alone on it. */
        bool draining = false;
        /** Gone from the catalogue; kept while requests are in flight. */
        bool removed = false;
    };

    /** Replaces the set of upstreams; in-flight counts are kept. */
    void setUpstreams(const std::vector<PoolUpstream> &specs);
    void add(const std::string &upstream, bool probe, absl::Time now);
    void remove(const std::string &upstream, bool probe);
    void setIsolated(const std::string &upstream, bool isolated);
    /** Names the only upstream that is being drained; empty for none. */
    void setDraining(std::string_view upstream);

    /** The upstream with the lowest expected wait that has a free slot, or an ejected one whose probe is due. */
    [[nodiscard]] std::optional<Choice> choose(wire::WorkClass workClass, const std::vector<std::string> &excluded, absl::Time now) const;
    /** As choose(), among ejected upstreams whose probe is due only. */
    [[nodiscard]] std::optional<Choice> chooseProbe(wire::WorkClass workClass, const std::vector<std::string> &excluded, absl::Time now) const;
    /** As choose(), but the better one of two upstreams that the random numbers select. */
    [[nodiscard]] std::optional<Choice> chooseOfTwo(
        wire::WorkClass workClass, const std::vector<std::string> &excluded, std::uint64_t firstRandom, std::uint64_t secondRandom, absl::Time now) const;
    /** An idle upstream for a request that has to run alone; while no upstream is usable, one whose probe is due. */
    [[nodiscard]] std::optional<Choice> chooseIdle(wire::WorkClass workClass, absl::Time now) const;
    /** The upstream that is emptied soonest; the one already being drained is kept. */
    [[nodiscard]] std::optional<std::string> chooseToDrain() const;

    /** Whether any upstream takes new work at all. */
    [[nodiscard]] bool anyTakesWork() const;
    /** Whether choose() can succeed for a request without exclusions. */
    [[nodiscard]] bool hasRoom(wire::WorkClass workClass, absl::Time now) const;
    [[nodiscard]] std::int64_t usableSlots() const;
    [[nodiscard]] std::int64_t freeSlots() const;
    /** Requests in flight beyond the slots of an upstream. */
    [[nodiscard]] std::int64_t excess(const std::string &upstream) const;
    /** Whether a slot that becomes free on the upstream can be given to a request with these exclusions. */
    [[nodiscard]] bool useful(const std::string &upstream, const std::vector<std::string> &excluded) const;

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
