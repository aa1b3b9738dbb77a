#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include "FairQueue.h"
#include "SlotTypes.h"

namespace Bergamotramp {

/** The requests that wait for a slot of one pool: in the fair queue of their class, or aside until they may run. */
class SlotQueue
{
public:
    enum class Stage {
        Queued,
        /** Until another copy of the same request has ended. */
        Parked,
        /** Until it can run alone. */
        Suspect,
    };
    /** Where a request waits; lane and order matter for Stage::Queued only. */
    struct Placement {
        Stage stage = Stage::Queued;
        FairQueue::Lane lane = FairQueue::Lane::Short;
        absl::Time order = absl::UnixEpoch();
    };
    /** Online requests order before batch requests, then by arrival. */
    using Line = std::map<std::pair<wire::WorkClass, std::uint64_t>, GrantId>;
    using Cost = std::function<double(const GrantId &)>;

    void add(const PoolRequest &request, const Placement &placement);
    void move(const GrantId &id, const Placement &placement);
    PoolRequest remove(const GrantId &id);
    /** Removes and returns the next queued request of a class that the filter accepts. */
    std::optional<PoolRequest> pop(wire::WorkClass workClass, const FairQueue::Filter &filter, const Cost &cost);
    /** Drops what needs no memory any more. */
    void prune();

    [[nodiscard]] bool empty() const;
    [[nodiscard]] bool contains(const GrantId &id) const;
    /** The request must wait here; so for the next two. */
    [[nodiscard]] const PoolRequest &request(const GrantId &id) const;
    [[nodiscard]] Stage stage(const GrantId &id) const;
    [[nodiscard]] FairQueue::Lane lane(const GrantId &id) const;
    /** Requests of a class in any stage. */
    [[nodiscard]] std::size_t count(wire::WorkClass workClass) const;
    [[nodiscard]] const FairQueue &queued(wire::WorkClass workClass) const;
    [[nodiscard]] const Line &suspects() const;
    [[nodiscard]] std::size_t parkedCount() const;
    /** The first parked copy of a fingerprint. */
    [[nodiscard]] std::optional<GrantId> firstParked(std::uint64_t fingerprint) const;
    /** Queued copies of a fingerprint in one class. */
    [[nodiscard]] std::size_t queuedCopies(std::uint64_t fingerprint, wire::WorkClass workClass) const;
    /** A request whose deadline is not after @p now. */
    [[nodiscard]] std::optional<GrantId> expired(absl::Time now) const;
    /** All requests, those of a host, and those with a fingerprint, in the order in which they arrived. */
    [[nodiscard]] std::vector<GrantId> all() const;
    [[nodiscard]] std::vector<GrantId> ofHost(const std::string &host) const;
    [[nodiscard]] std::vector<GrantId> copiesOf(std::uint64_t fingerprint) const;
    [[nodiscard]] std::set<std::string> hosts() const;

private:
    struct Waiting {
        PoolRequest request;
        Stage stage = Stage::Queued;
        FairQueue::Place place;
        std::uint64_t arrival = 0;
    };
    struct Class {
        FairQueue queue;
        std::size_t count = 0;
        absl::flat_hash_map<std::uint64_t, std::size_t> copies;
    };

    [[nodiscard]] Class &classOf(const PoolRequest &request);
    void place(const GrantId &id, Waiting &entry, const Placement &placement);
    void detach(const Waiting &entry);
    PoolRequest forget(const GrantId &id);
    void countCopy(const PoolRequest &request, int change);
    [[nodiscard]] std::vector<GrantId> inOrder(const std::function<bool(const PoolRequest &)> &wanted) const;

    absl::flat_hash_map<GrantId, Waiting> waiting;
    Class online;
    Class batch;
    std::map<std::uint64_t, Line> parked;
    Line suspectLine;
    std::set<std::pair<absl::Time, GrantId>> deadlines;
    std::size_t parkedRequests = 0;
    std::uint64_t nextArrival = 1;
};

} // namespace Bergamotramp
