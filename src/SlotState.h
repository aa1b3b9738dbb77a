#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include "CrashQuarantine.h"
#include "JoinedHostTracker.h"
#include "LocalRouting.h"
#include "SlotDirectory.h"
#include "SlotPool.h"
#include "SlotService.h"
#include "TimerService.h"
#include "UpstreamLoad.h"

namespace Bergamotramp {

/**
 * Implementation of SlotService: held slots, the slot pools that this host runs and requests that wait for a pool holder.
 * One mutex guards all of it.
 */
class SlotService::State
{
public:
    using Answer = std::variant<SlotTicket, SlotDenial>;

    explicit State(const HostContext &context);

    Answer acquire(const SlotDemand &demand, std::function<void()> revoked);
    void release(const SlotTicket &ticket, const GrantOutcome &outcome);
    void progress(const SlotTicket &ticket, std::uint32_t tokens);
    void handle(const wire::Envelope &envelope);
    /** Applies a changed catalogue or set of live hosts. */
    void refresh();
    [[nodiscard]] nlohmann::json status() const;
    [[nodiscard]] std::map<std::string, SlotUsage> usage() const;

private:
    /** Calls the caller's revocation hook at most once, and never after disable() has returned. */
    class Revocation
    {
    public:
        explicit Revocation(std::function<void()> hook);
        void run();
        void disable();

    private:
        // Recursive, because the hook may release the ticket, which calls disable() on the same thread.
        std::recursive_mutex mutex;
        std::function<void()> hook;
    };
    /** A slot request of this host that waits for the answer of the pool's holder. */
    struct PendingRequest {
        SlotDemand demand;
        std::string pool;
        std::string holder;
        std::shared_ptr<Revocation> revocation;
        std::condition_variable changed;
        /** The holder has acknowledged that the request is in its queue. */
        bool queued = false;
        bool holderChanged = false;
        std::optional<Answer> answer;
    };
    enum class WaitResult {
        Answered,
        HolderChanged,
        /** The holder did not reply within the reply timeout. */
        Unanswered,
        /** The time limit passed, or the caller withdrew the request. */
        Expired,
    };
    /** A slot that a request of this host holds. */
    struct Ticket {
        SlotTicket ticket;
        std::string pool;
        /** The host that granted the slot; empty when this host chose the upstream itself. */
        std::string holder;
        wire::WorkClass workClass = wire::WORK_CLASS_ONLINE;
        std::uint64_t fingerprint = 0;
        std::string organisation;
        std::uint32_t tokens = 0;
        absl::Time startedAt;
        bool probe = false;
        bool revoked = false;
        std::shared_ptr<Revocation> revocation;
    };
    /** What this host knows of one pool. For a plain service, the region is empty and there is no holder. */
    struct Pool {
        std::string service;
        std::string region;
        std::vector<PoolUpstream> upstreams;
        std::string holder;
        /** Allocates the slots of the pool; set while this host runs the pool. */
        std::unique_ptr<SlotPool> slotPool;
        /** Requests of this host on each upstream; the slot counts are this host's share. */
        UpstreamLoad localLoad;
        /** Wakes plain requests that wait for a slot of this host's share. */
        std::shared_ptr<std::condition_variable> slotFreed = std::make_shared<std::condition_variable>();
        std::size_t onlineWaiting = 0;
        /** Whether this host's last report to the holder listed any slots. */
        bool lastReportListedSlots = false;
    };
    /** Messages to send and revocation hooks to run once the mutex is released. */
    struct Outbox {
        std::vector<std::pair<std::string, wire::Envelope>> messages;
        std::vector<std::shared_ptr<Revocation>> revocations;
    };
    using Lock = std::unique_lock<std::mutex>;

    void flush(Outbox &outbox);
    void enqueueMessage(Outbox &outbox, const std::string &host, wire::Envelope message);
    void flushUnlocked(Lock &lock, Outbox &outbox);

    Answer acquireModel(const SlotDemand &demand, const ServiceSpec &spec, const std::shared_ptr<Revocation> &revocation);
    Answer acquireBaseline(const std::vector<std::string> &regions, const SlotDemand &demand, const std::shared_ptr<Revocation> &revocation);
    Answer requestSlot(Lock &lock, const std::string &poolName, const SlotDemand &demand, absl::Time until, const std::shared_ptr<Revocation> &revocation);
    std::optional<Answer> requestSlotOnce(Lock &lock, Pool &pool, const SlotDemand &demand, absl::Time until, const std::shared_ptr<Revocation> &revocation);
    void sendRequest(Lock &lock, std::uint64_t number, const PendingRequest &pending, absl::Time until);
    WaitResult waitForAnswer(Lock &lock, std::uint64_t number, PendingRequest &pending, absl::Time until);
    void withdrawRequest(Lock &lock, std::uint64_t number, const PendingRequest &pending);
    [[nodiscard]] bool isUnresponsive(const std::string &host, absl::Time now) const;
    std::optional<Answer> grantFromLocalShare(const std::string &poolName, Pool &pool, const SlotDemand &demand, const std::shared_ptr<Revocation> &revocation);

    Answer acquirePlain(const SlotDemand &demand, const std::shared_ptr<Revocation> &revocation);
    std::optional<Answer> tryPlain(const std::string &poolName, Pool &pool, const SlotDemand &demand, const std::shared_ptr<Revocation> &revocation);
    [[nodiscard]] std::optional<UpstreamLoad::Choice> choosePlain(const Pool &pool, const SlotDemand &demand, absl::Time now);
    void revokeLocalBatch(const std::string &poolName, Outbox &outbox);
    [[nodiscard]] bool localBatchAllowed(const Pool &pool) const;
    [[nodiscard]] std::size_t localCopies(const std::string &poolName, std::uint64_t fingerprint) const;
    [[nodiscard]] bool suspectRunsLocally(const std::string &poolName, absl::Time now);

    SlotTicket createTicket(const std::string &poolName,
                            Pool &pool,
                            const SlotDemand &demand,
                            const UpstreamLoad::Choice &choice,
                            std::uint64_t number,
                            const std::string &holder,
                            const std::shared_ptr<Revocation> &revocation);
    void recordOutcome(Pool &pool, const Ticket &ticket, const GrantOutcome &outcome, Outbox &outbox);
    void recordLocalCrash(const Ticket &ticket, Outbox &outbox);
    void broadcastCrashCount(const std::string &service, const CrashCount &count, Outbox &outbox);
    void mergeCrashCount(const std::string &service, const CrashCount &count, Outbox &outbox);
    void sendCrashCountsToJoinedHosts(absl::Time now, Outbox &outbox);
    void notifyHoldersOfRelease(const Pool &pool, const Ticket &ticket, const GrantOutcome &outcome, Outbox &outbox);

    void applyActions(const std::string &poolName, const SlotActions &actions, Outbox &outbox);
    void applyGrant(const std::string &poolName, const SlotGranted &granted, Outbox &outbox);
    void setAnswer(std::uint64_t number, Answer answer);
    void revokeTicket(std::uint64_t number, Outbox &outbox);
    SlotPool *findSlotPool(const std::string &poolName);
    SlotPool &getOrCreateSlotPool(const std::string &poolName, Pool &pool, absl::Time now);

    void onRequest(const std::string &sender, const wire::SlotRequest &message, Outbox &outbox);
    void onReply(const std::string &sender, const wire::SlotReply &message, Outbox &outbox);
    void onRelease(const std::string &sender, const wire::SlotRelease &message, Outbox &outbox);
    void onRevoke(const std::string &sender, const wire::SlotRevoke &message, Outbox &outbox);
    void onHeldSlots(const std::string &sender, const wire::HeldSlots &message, Outbox &outbox);
    void onSuspectNotice(const wire::SuspectNotice &message, Outbox &outbox);

    void tick();
    void tickPool(const std::string &poolName, Pool &pool, absl::Time now, Outbox &outbox);
    void configure(absl::Time now, Outbox &outbox);
    void configurePool(const ServiceSpec &spec, const std::string &region, absl::Time now, Outbox &outbox);
    void updateHolder(const std::string &poolName, Pool &pool, absl::Time now, Outbox &outbox);
    void reportHeldSlots(const std::string &poolName, Pool &pool, absl::Time now, Outbox &outbox);
    [[nodiscard]] static nlohmann::json poolStatus(const Pool &pool, absl::Time now);

    const HostContext &context;
    const std::string self;

    mutable std::mutex mutex;
    SlotDirectory directory;
    std::map<std::string, Pool> pools;
    std::map<std::string, CrashQuarantine> crashQuarantines;
    JoinedHostTracker joinedHosts;
    absl::flat_hash_map<std::uint64_t, std::shared_ptr<PendingRequest>> pendingRequests;
    absl::flat_hash_map<std::uint64_t, Ticket> tickets;
    /** Numbers and pools of withdrawn requests whose grant may still arrive; bounded. */
    std::deque<std::pair<std::uint64_t, std::string>> withdrawnRequests;
    std::map<std::string, absl::Time> lastMessageAt;
    std::map<std::string, absl::Time> lastUnansweredAt;
    std::uint64_t nextNumber;
    LocalRouting baselineRouting;
    std::minstd_rand random;
    absl::Time lastReport = absl::InfinitePast();
    std::uint64_t fallbackCount = 0;
    // Declared last, so that the timer stops before the other members are destroyed.
    TimerSubscription timer;
};

} // namespace Bergamotramp
