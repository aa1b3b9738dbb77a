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

#include "CrashSuspects.h"
#include "OnlineDemand.h"
#include "ServiceSpec.h"
#include "SlotQueue.h"
#include "SlotTypes.h"
#include "UpstreamLoad.h"

namespace Bergamotramp {

/** What a pool looks like at one time. */
struct SlotPoolStatus {
    struct Upstream {
        std::string name;
        std::int64_t inFlight = 0;
        std::int64_t slots = 0;
        double score = 1.0;
        bool ejected = false;
        bool leaving = false;
        bool isolated = false;

        bool operator==(const Upstream &) const = default;
    };

    std::vector<Upstream> upstreams;
    std::size_t onlineInFlight = 0;
    std::size_t batchInFlight = 0;
    std::size_t onlineQueued = 0;
    std::size_t batchQueued = 0;
    /** Waiting for another copy of the same request to end. */
    std::size_t parked = 0;
    std::size_t suspectsQueued = 0;
    std::int64_t reserve = 0;
    std::uint64_t grants = 0;
    std::uint64_t denials = 0;
    std::uint64_t revocations = 0;

    bool operator==(const SlotPoolStatus &) const = default;
};

/**
 * Shares the slots of one pool among all hosts; run by the holder of the pool. Every event returns the actions that it
 * causes. Time must not decrease by more than clock adjustments; an event with an earlier time is taken as it is.
 */
class SlotPool
{
public:
    /** A request beyond these is denied with SlotDenialCode::overloaded. */
    static constexpr std::size_t maxOnlineWaiting = 16'384;
    static constexpr std::size_t maxBatchWaiting = 32'768;
    /** Grants beyond this are not adopted from reports. */
    static constexpr std::size_t maxGrants = 65'536;
    /** Ended grants that are remembered to recognise late duplicates of their messages. */
    static constexpr std::size_t maxEnded = 8'192;
    static constexpr std::size_t maxCopies = 2;
    /** A grant that its host did not report for this long is freed. */
    static constexpr absl::Duration grantLease = absl::Seconds(5);

    explicit SlotPool(const ServiceSpec &spec);

    /** Takes the upstreams of the pool and the objectives of the service. */
    SlotActions configure(const ServiceSpec &spec, const std::vector<PoolUpstream> &upstreams, absl::Time now);
    /** Grants no batch request before @p time; for a new holder that does not know yet which slots are held. */
    void holdBatchUntil(absl::Time time);
    /** A repeated request is answered with its grant, or not at all while it waits or after it ended. */
    SlotActions request(const PoolRequest &request, absl::Time now);
    /** Ends a grant, or withdraws a request that waits. */
    SlotActions release(const GrantId &id, const GrantOutcome &outcome, absl::Time now);
    /** Takes the complete list of slots that a host holds. */
    SlotActions adopt(const std::string &host, const std::vector<HeldGrant> &held, absl::Time now);
    /** Frees the grants and drops the requests of a host that is gone. */
    SlotActions removeHost(const std::string &host, absl::Time now);
    /** Takes a crash count that another host announced. */
    SlotActions suspectNotice(std::uint64_t fingerprint, std::uint32_t crashes, absl::Time now);
    /** To be called about every 100 ms. */
    SlotActions tick(absl::Time now);

    [[nodiscard]] SlotPoolStatus status(absl::Time now) const;
    [[nodiscard]] const CrashSuspects &suspects() const;
    /** Hosts with grants or requests here. */
    [[nodiscard]] std::set<std::string> hosts() const;

private:
    struct Grant {
        PoolRequest request;
        std::string upstream;
        absl::Time grantedAt;
        absl::Time lastReported;
        std::uint32_t tokens = 0;
        absl::Time tokensAt;
        /** When the last revocation was sent; infinite past for never. */
        absl::Time revokedAt = absl::InfinitePast();
        bool probe = false;
        bool isolated = false;
        bool crashCounted = false;
        bool longStream = false;
    };

    SlotActions finish(absl::Time now);
    bool refuse(const PoolRequest &request, absl::Time now);
    void deny(const GrantId &id, const char *code, absl::Duration retryAfter);
    [[nodiscard]] bool finishesInTime(const PoolRequest &request, absl::Time start) const;
    void denyUnfinishable(absl::Time now);
    void denyIfTooLate(const GrantId &id, absl::Time now);
    [[nodiscard]] SlotQueue::Placement placementOf(const PoolRequest &request, absl::Time now) const;
    void dropWaiting(const GrantId &id, absl::Time now);
    void reroute(std::uint64_t fingerprint, absl::Time now);
    void placeAgain(const GrantId &id, absl::Time now);
    void unpark(std::uint64_t fingerprint, absl::Time now);
    [[nodiscard]] bool copyAllowed(const PoolRequest &request) const;
    [[nodiscard]] std::size_t copiesInFlight(std::uint64_t fingerprint) const;

    void grant(PoolRequest request, const UpstreamLoad::Choice &choice, bool isolated, absl::Time now);
    void insertGrant(Grant grant, absl::Time now);
    void endGrant(const GrantId &id, absl::Time now);
    void observe(const Grant &grant, const GrantOutcome &outcome, absl::Time now);
    void onDeath(const Grant &grant, absl::Time now);
    void suspectChanged(std::uint64_t fingerprint, std::uint32_t crashes, absl::Time now);
    void adoptOne(const GrantId &id, const HeldGrant &held, absl::Time now);
    void updateTokens(Grant &grant, std::uint32_t tokens, absl::Time now);
    void revoke(Grant &grant, absl::Time now);
    void remember(const GrantId &id);

    void dispatch(absl::Time now);
    void denyAllWithoutUpstream(absl::Time now);
    bool suspectRunning(bool online, absl::Time now);
    void serveSuspect(absl::Time now);
    [[nodiscard]] std::optional<GrantId> nextSuspect(absl::Time now) const;
    void serveOnline(absl::Time now);
    void serveBatch(absl::Time now);
    [[nodiscard]] SlotQueue::Cost queueCost() const;
    [[nodiscard]] bool batchAllowed(absl::Time now) const;
    void revokeForOnline(absl::Time now);
    void revokeForCopies(absl::Time now);
    void assignVictim(const PoolRequest &request, std::vector<Grant *> &victims, std::map<std::string, std::int64_t> &excess, absl::Time now);
    [[nodiscard]] std::vector<Grant *> victims(absl::Time now);
    [[nodiscard]] double workLost(const Grant &grant, absl::Time now) const;
    [[nodiscard]] std::int64_t longCap() const;
    [[nodiscard]] bool longAllowed() const;

    void expireWaiting(absl::Time now);
    void expireGrants(absl::Time now);
    void repeatRevocations(absl::Time now);

    ServiceSpec spec;
    UpstreamLoad load;
    OnlineDemand demand;
    CrashSuspects crashes;

    SlotQueue queue;
    absl::flat_hash_map<GrantId, Grant> grants;
    /** Grants by fingerprint. */
    absl::flat_hash_map<std::uint64_t, std::size_t> copies;
    std::deque<GrantId> endedOrder;
    absl::flat_hash_set<GrantId> ended;

    std::size_t onlineInFlight = 0;
    std::size_t longInFlight = 0;
    absl::Time batchFrom = absl::InfinitePast();
    absl::Time lastTick = absl::InfinitePast();
    std::uint64_t grantCount = 0;
    std::uint64_t denialCount = 0;
    std::uint64_t revocationCount = 0;
    SlotActions pending;
};

} // namespace Bergamotramp
