#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/time/time.h>

#include "CrashQuarantine.h"
#include "OnlineDemand.h"
#include "ServiceSpec.h"
#include "SlotQueue.h"
#include "SlotTypes.h"
#include "UpstreamLoad.h"

namespace Bergamotramp {

/** Snapshot of a pool for status reports. */
struct SlotPoolStatus {
    struct Upstream {
        std::string name;
        std::int64_t inFlight = 0;
        std::int64_t slots = 0;
        double score = 1.0;
        /** Gets only probe requests, because it is slow or crashed. */
        bool ejected = false;
        bool leaving = false;
        /** Reserved for one crash suspect (see CrashQuarantine), which runs there alone. */
        bool isolated = false;

        bool operator==(const Upstream &) const = default;
    };

    std::vector<Upstream> upstreams;
    std::size_t onlineInFlight = 0;
    std::size_t batchInFlight = 0;
    std::size_t onlineQueued = 0;
    std::size_t batchQueued = 0;
    /** Requests that wait because SlotPool::maxCopies copies of them already run or are queued. */
    std::size_t blockedCopies = 0;
    std::size_t suspectsQueued = 0;
    /** Free slots that batch work has to leave for online requests. */
    std::int64_t reserve = 0;
    std::uint64_t grants = 0;
    std::uint64_t denials = 0;
    std::uint64_t revocations = 0;

    bool operator==(const SlotPoolStatus &) const = default;
};

/**
 * Allocates the slots of one pool to the requests of all hosts. A slot lets an upstream run one request. Runs on the
 * pool's holder, the host that SlotDirectory::holderOf() returns. Every event returns the actions that it causes. Time must not decrease by more
 * than clock adjustments; an event with an earlier time than the previous one is processed with its own time.
 */
class SlotPool
{
public:
    /** Limits of waiting requests; a request beyond these is denied with SlotDenialCode::overloaded. */
    static constexpr std::size_t maxOnlineWaiting = 16'384;
    static constexpr std::size_t maxBatchWaiting = 32'768;
    /** Reported slots are ignored while the pool has this many grants. */
    static constexpr std::size_t maxGrants = 65'536;
    /** Ids of ended grants and withdrawn requests, kept to recognise late duplicates of their messages. */
    static constexpr std::size_t maxEndedIds = 8'192;
    /** Copies of one request that may run at once. */
    static constexpr std::size_t maxCopies = 2;
    /** A grant that its host has not reported for this long is freed. */
    static constexpr absl::Duration grantLease = absl::Seconds(5);

    explicit SlotPool(const ServiceSpec &spec);

    /** Replaces the upstreams of the pool and the settings of the service. */
    SlotActions configure(const ServiceSpec &spec, const std::vector<PoolUpstream> &upstreams, absl::Time now);
    /**
     * Until @p time, grants batch requests only as probes of ejected upstreams. Used by a new holder, which does not
     * know yet which slots are held.
     */
    void blockBatchUntil(absl::Time time);
    /**
     * Grants, queues or denies a request. If the request is repeated, its grant is sent again; nothing happens while it
     * waits or after it ended.
     */
    SlotActions request(const PoolRequest &request, absl::Time now);
    /** Ends a grant, or withdraws a waiting request. */
    SlotActions release(const GrantId &id, const GrantOutcome &outcome, absl::Time now);
    /**
     * Processes the complete list of slots that a host holds: renews the leases of known grants and adds unknown ones.
     */
    SlotActions updateHeldSlots(const std::string &host, const std::vector<HeldGrant> &held, absl::Time now);
    /** Ends the grants and drops the waiting requests of a host that is gone. */
    SlotActions removeHost(const std::string &host, absl::Time now);
    /** Merges a crash count that another host announced. */
    SlotActions mergeCrashCount(const CrashCount &count, absl::Time now);
    /** Expires requests and grants and repeats revocations; to be called about every 100 ms. */
    SlotActions tick(absl::Time now);

    [[nodiscard]] SlotPoolStatus status(absl::Time now) const;
    [[nodiscard]] const CrashQuarantine &suspects() const;
    /** Hosts that have grants or waiting requests in this pool. */
    [[nodiscard]] std::set<std::string> hosts() const;

private:
    struct Grant {
        PoolRequest request;
        std::string upstream;
        absl::Time grantedAt;
        absl::Time lastReported;
        /** Tokens that the host reported last, and when their number last grew. */
        std::uint32_t tokens = 0;
        absl::Time tokensAt;
        /** When the revocation was last sent; infinite past if never. */
        absl::Time revokedAt = absl::InfinitePast();
        bool probe = false;
        bool isolated = false;
        /** The crash of its upstream was already counted. */
        bool crashCounted = false;
        /** Counts against longStreamLimit(). */
        bool longStream = false;
    };

    SlotActions dispatchAndTakeActions(absl::Time now);
    bool denyIfInadmissible(const PoolRequest &request, absl::Time now);
    void deny(const GrantId &id, const char *code, absl::Duration retryAfter);
    [[nodiscard]] bool completesInTime(const PoolRequest &request, absl::Time start) const;
    void denyUnableToComplete(absl::Time now);
    void denyIfTooLate(const GrantId &id, absl::Time now);
    [[nodiscard]] SlotQueue::Placement placementOf(const PoolRequest &request, absl::Time now) const;
    void dropWaiting(const GrantId &id, absl::Time now);
    void updateWaitingCopies(std::uint64_t fingerprint, absl::Time now);
    void updatePlacement(const GrantId &id, absl::Time now);
    void unblockCopies(std::uint64_t fingerprint, absl::Time now);
    [[nodiscard]] bool copyAllowed(const PoolRequest &request) const;
    [[nodiscard]] std::size_t copiesInFlight(std::uint64_t fingerprint) const;

    void grant(PoolRequest request, const UpstreamLoad::Choice &choice, bool isolated, absl::Time now);
    void insertGrant(Grant grant, absl::Time now);
    void endGrant(const GrantId &id, absl::Time now);
    void recordOutcome(const Grant &grant, const GrantOutcome &outcome, absl::Time now);
    void onUpstreamCrash(const Grant &grant, absl::Time now);
    void onCrashCountChanged(const CrashCount &count, absl::Time now);
    void updateOrAddGrant(const GrantId &id, const HeldGrant &held, absl::Time now);
    void updateTokens(Grant &grant, std::uint32_t tokens, absl::Time now);
    void revoke(Grant &grant, absl::Time now);
    void rememberEnded(const GrantId &id);

    void dispatch(absl::Time now);
    void denyAllWithoutUpstream(absl::Time now);
    bool checkRunningSuspects(bool revokeBatch, absl::Time now);
    void dispatchSuspect(absl::Time now);
    [[nodiscard]] std::optional<GrantId> nextSuspect(absl::Time now) const;
    void dispatchOnline(absl::Time now);
    void dispatchBatch(absl::Time now);
    [[nodiscard]] SlotQueue::Cost queueCost() const;
    [[nodiscard]] bool batchAllowed(absl::Time now) const;
    void revokeForOnline(absl::Time now);
    void revokeForCopies(absl::Time now);
    void revokeForRequest(const PoolRequest &request, std::vector<Grant *> &candidates, std::map<std::string, std::int64_t> &excess, absl::Time now);
    [[nodiscard]] std::vector<Grant *> revocationCandidates(absl::Time now);
    [[nodiscard]] double lostTokens(const Grant &grant, absl::Time now) const;
    [[nodiscard]] std::int64_t longStreamLimit() const;
    [[nodiscard]] bool longStreamAllowed() const;

    void expireWaiting(absl::Time now);
    void expireGrants(absl::Time now);
    void repeatRevocations(absl::Time now);

    ServiceSpec spec;
    UpstreamLoad load;
    OnlineDemand demand;
    CrashQuarantine crashQuarantine;

    SlotQueue queue;
    absl::flat_hash_map<GrantId, Grant> grants;
    /** Number of grants by fingerprint. */
    absl::flat_hash_map<std::uint64_t, std::size_t> runningCopies;
    /** The ids in endedIds, oldest first. */
    std::deque<GrantId> endedIdOrder;
    absl::flat_hash_set<GrantId> endedIds;

    std::size_t onlineInFlight = 0;
    std::size_t longStreamsInFlight = 0;
    absl::Time batchBlockedUntil = absl::InfinitePast();
    absl::Time lastTick = absl::InfinitePast();
    std::uint64_t grantCount = 0;
    std::uint64_t denialCount = 0;
    std::uint64_t revocationCount = 0;
    SlotActions pendingActions;
};

} // namespace Bergamotramp
