#pragma once

#include <cstddef>

#include <absl/time/time.h>

namespace Bergamotramp {

/** What a starting host knows of the other hosts. */
struct KnownPeers {
    std::size_t count = 0;
    /** When the last one was found; infinite past when there is none. */
    absl::Time lastFound = absl::InfinitePast();

    bool operator==(const KnownPeers &) const = default;
};

/**
 * Decides when a starting host lists what it needs from the store. The routing data (configuration and upstreams) come first, because callers
 * wait for them. The headers of the jobs come after them: their list is larger, and calls about a job read its header alone.
 */
class StartPlan
{
public:
    /** A host without seeds does not wait for other hosts. */
    StartPlan(absl::Time started, bool hasSeeds);

    /** Records the hosts that are registered in the store, and whether an earlier run of this host is among them. */
    void recordRegisteredHosts(std::size_t hosts, bool includesThisHost);
    [[nodiscard]] bool mayListRouting(const KnownPeers &peers, absl::Time now) const;
    [[nodiscard]] bool mayListJobs(const KnownPeers &peers, bool routingKnown, absl::Time now) const;
    /** Whether the routing data are expected within a moment, so that callers' requests may wait for them. */
    [[nodiscard]] bool routingExpected(bool storeAnswers, absl::Time now) const;

    bool operator==(const StartPlan &) const = default;

private:
    [[nodiscard]] bool peersFound(const KnownPeers &peers, absl::Time now) const;

    absl::Time started;
    bool hasSeeds;
    bool listsDirectly = false;
};

} // namespace Bergamotramp
