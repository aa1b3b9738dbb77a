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

/**
 * The requests that wait for a slot of one pool: in the fair queue of their work class, or outside it while they may
 * not run.
 */
class SlotQueue
{
public:
    enum class Stage {
        /** In the fair queue of its work class. */
        Queued,
        /** Waits until another copy of the same request has ended. */
        Blocked,
        /** Crash suspect; waits until it can run alone on an upstream. */
        Suspect,
    };
    /** Where a request waits. lane and order (see FairQueue) apply to Stage::Queued only. */
    struct Placement {
        Stage stage = Stage::Queued;
        FairQueue::Lane lane = FairQueue::Lane::Short;
        absl::Time order = absl::UnixEpoch();
    };
    /** Request ids: online before batch, then by arrival. */
    using IdsByArrival = std::map<std::pair<wire::WorkClass, std::uint64_t>, GrantId>;
    /** Returns the cost of a request, which the fair queue charges to its organisation. */
    using Cost = std::function<double(const GrantId &)>;

    void add(const PoolRequest &request, const Placement &placement);
    void move(const GrantId &id, const Placement &placement);
    PoolRequest remove(const GrantId &id);
    /** Removes and returns the next queued request of a class that the filter accepts. */
    std::optional<PoolRequest> pop(wire::WorkClass workClass, const FairQueue::Filter &filter, const Cost &cost);
    /** Prunes the fair queues; see FairQueue::prune(). */
    void prune();

    [[nodiscard]] bool empty() const;
    [[nodiscard]] bool contains(const GrantId &id) const;
    /** The request must be in this queue; the same holds for stage() and lane(). */
    [[nodiscard]] const PoolRequest &request(const GrantId &id) const;
    [[nodiscard]] Stage stage(const GrantId &id) const;
    [[nodiscard]] FairQueue::Lane lane(const GrantId &id) const;
    /** Number of requests of a class in all stages. */
    [[nodiscard]] std::size_t count(wire::WorkClass workClass) const;
    [[nodiscard]] const FairQueue &queued(wire::WorkClass workClass) const;
    [[nodiscard]] const IdsByArrival &suspects() const;
    [[nodiscard]] std::size_t blockedCount() const;
    /** The first blocked request with a fingerprint; nothing if there is none. */
    [[nodiscard]] std::optional<GrantId> firstBlocked(std::uint64_t fingerprint) const;
    /** Number of requests of a class with a fingerprint in Stage::Queued. */
    [[nodiscard]] std::size_t queuedCopies(std::uint64_t fingerprint, wire::WorkClass workClass) const;
    /** A request whose grant deadline is not after @p now; nothing if there is none. */
    [[nodiscard]] std::optional<GrantId> expired(absl::Time now) const;
    /** All requests, those of a host, and those with a fingerprint, each in order of arrival. */
    [[nodiscard]] std::vector<GrantId> all() const;
    [[nodiscard]] std::vector<GrantId> ofHost(const std::string &host) const;
    [[nodiscard]] std::vector<GrantId> copiesOf(std::uint64_t fingerprint) const;
    [[nodiscard]] std::set<std::string> hosts() const;

private:
    struct WaitingRequest {
        PoolRequest request;
        Stage stage = Stage::Queued;
        FairQueue::Position position;
        std::uint64_t arrival = 0;
    };
    struct ClassQueue {
        FairQueue queue;
        std::size_t count = 0;
        /** Number of queued requests by fingerprint. */
        absl::flat_hash_map<std::uint64_t, std::size_t> copies;
    };

    [[nodiscard]] ClassQueue &classQueueOf(const PoolRequest &request);
    void addToStage(const GrantId &id, WaitingRequest &entry, const Placement &placement);
    void removeFromStage(const WaitingRequest &entry);
    PoolRequest eraseRecord(const GrantId &id);
    void countCopy(const PoolRequest &request, int change);
    [[nodiscard]] std::vector<GrantId> selectByArrival(const std::function<bool(const PoolRequest &)> &predicate) const;

    absl::flat_hash_map<GrantId, WaitingRequest> waiting;
    ClassQueue online;
    ClassQueue batch;
    /** By fingerprint. */
    std::map<std::uint64_t, IdsByArrival> blocked;
    IdsByArrival suspectIds;
    std::set<std::pair<absl::Time, GrantId>> deadlines;
    std::size_t blockedRequests = 0;
    std::uint64_t nextArrival = 1;
};

} // namespace Bergamotramp
