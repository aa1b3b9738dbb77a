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

#include "CrashSuspects.h"
#include "JoinNotices.h"
#include "LocalRouting.h"
#include "SlotDirectory.h"
#include "SlotPool.h"
#include "SlotService.h"
#include "TimerService.h"
#include "UpstreamLoad.h"

namespace Bergamotramp {

/** The state behind SlotService: tickets, pools held here and requests that wait for a holder, under one lock. */
class SlotService::State
{
public:
    using Answer = std::variant<SlotTicket, SlotDenial>;

    explicit State(const HostContext &context);

    Answer acquire(const SlotDemand &demand, std::function<void()> revoked);
    void release(const SlotTicket &ticket, const GrantOutcome &outcome);
    void progress(const SlotTicket &ticket, std::uint32_t tokens);
    void handle(const wire::Envelope &envelope);
    /** Takes in a changed catalogue or set of live hosts. */
    void refresh();
    [[nodiscard]] nlohmann::json status() const;
    [[nodiscard]] std::map<std::string, SlotUsage> usage() const;

private:
    /** Calls the caller's hook at most once, and not after disable() returned. */
    class Revocation
    {
    public:
        explicit Revocation(std::function<void()> hook);
        void run();
        void disable();

    private:
        // Recursive, because the hook may release the ticket.
        std::recursive_mutex mutex;
        std::function<void()> hook;
    };
    /** A request of this host that waits for the holder of a pool. */
    struct Ask {
        SlotDemand demand;
        std::string pool;
        std::string holder;
        std::shared_ptr<Revocation> revocation;
        std::condition_variable changed;
        bool queued = false;
        bool holderChanged = false;
        std::optional<Answer> answer;
    };
    enum class AskEnd {
        Answered,
        HolderChanged,
        Unanswered,
        Expired,
    };
    /** A slot that this host holds. */
    struct Ticket {
        SlotTicket ticket;
        std::string pool;
        /** Empty when this host chose the upstream itself. */
        std::string holder;
        wire::WorkClass workClass = wire::WORK_CLASS_ONLINE;
        std::uint64_t fingerprint = 0;
        std::string organisation;
        std::uint32_t tokens = 0;
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
        /** Set while this host runs the pool. */
        std::unique_ptr<SlotPool> run;
        /** This host's own use; slots are its share. */
        UpstreamLoad local;
        /** Signals plain requests that wait for a slot of the share. */
        std::shared_ptr<std::condition_variable> freed = std::make_shared<std::condition_variable>();
        std::size_t onlineWaiting = 0;
        /** Whether the holder's last report listed slots. */
        bool reported = false;
    };
    /** Messages and hooks that wait until the lock is free. */
    struct Outbox {
        std::vector<std::pair<std::string, wire::Envelope>> messages;
        std::vector<std::shared_ptr<Revocation>> revocations;
    };
    using Lock = std::unique_lock<std::mutex>;

    void flush(Outbox &outbox);
    void post(Outbox &outbox, const std::string &host, wire::Envelope message);
    void flushUnlocked(Lock &lock, Outbox &outbox);

    Answer acquireModel(const SlotDemand &demand, const ServiceSpec &spec, const std::shared_ptr<Revocation> &revocation);
    Answer acquireBaseline(const std::vector<std::string> &regions, const SlotDemand &demand, const std::shared_ptr<Revocation> &revocation);
    Answer ask(Lock &lock, const std::string &poolName, const SlotDemand &demand, absl::Time until, const std::shared_ptr<Revocation> &revocation);
    std::optional<Answer> askOnce(Lock &lock, Pool &pool, const SlotDemand &demand, absl::Time until, const std::shared_ptr<Revocation> &revocation);
    void sendAsk(Lock &lock, std::uint64_t number, const Ask &ask, absl::Time until);
    AskEnd waitForAnswer(Lock &lock, std::uint64_t number, Ask &ask, absl::Time until);
    void withdraw(Lock &lock, std::uint64_t number, const Ask &ask);
    [[nodiscard]] bool unresponsive(const std::string &host, absl::Time now) const;
    std::optional<Answer> fallBack(const std::string &poolName, Pool &pool, const SlotDemand &demand, const std::shared_ptr<Revocation> &revocation);

    Answer acquirePlain(const SlotDemand &demand, const std::shared_ptr<Revocation> &revocation);
    std::optional<Answer> tryPlain(const std::string &poolName, Pool &pool, const SlotDemand &demand, const std::shared_ptr<Revocation> &revocation);
    void revokeLocalBatch(const std::string &poolName, Outbox &outbox);
    [[nodiscard]] bool localBatchAllowed(const Pool &pool) const;
    [[nodiscard]] std::size_t localCopies(const std::string &poolName, std::uint64_t fingerprint) const;
    [[nodiscard]] bool localSuspectRuns(const std::string &poolName, absl::Time now);

    SlotTicket hold(const std::string &poolName,
                    Pool &pool,
                    const SlotDemand &demand,
                    const UpstreamLoad::Choice &choice,
                    std::uint64_t number,
                    const std::string &holder,
                    const std::shared_ptr<Revocation> &revocation);
    void observeLocally(Pool &pool, const Ticket &ticket, const GrantOutcome &outcome, Outbox &outbox);
    void countLocalCrash(const Ticket &ticket, Outbox &outbox);
    void announce(const std::string &service, const SuspectChanged &changed, Outbox &outbox);
    void informJoinedHosts(absl::Time now, Outbox &outbox);
    void releaseToHolders(const Pool &pool, const Ticket &ticket, const GrantOutcome &outcome, Outbox &outbox);

    void apply(const std::string &poolName, const SlotActions &actions, Outbox &outbox);
    void applyGrant(const std::string &poolName, const SlotGranted &granted, Outbox &outbox);
    void answer(std::uint64_t number, Answer answer);
    void revokeTicket(std::uint64_t number, Outbox &outbox);
    SlotPool *running(const std::string &poolName);
    SlotPool &run(const std::string &poolName, Pool &pool, absl::Time now);

    void onRequest(const std::string &sender, const wire::SlotRequest &message, Outbox &outbox);
    void onReply(const std::string &sender, const wire::SlotReply &message, Outbox &outbox);
    void onRelease(const std::string &sender, const wire::SlotRelease &message, Outbox &outbox);
    void onRevoke(const std::string &sender, const wire::SlotRevoke &message, Outbox &outbox);
    void onHeld(const std::string &sender, const wire::HeldSlots &message, Outbox &outbox);
    void onSuspect(const wire::SuspectNotice &message, Outbox &outbox);

    void tick();
    void tickPool(const std::string &poolName, Pool &pool, absl::Time now, Outbox &outbox);
    void configure(absl::Time now, Outbox &outbox);
    void configurePool(const ServiceSpec &spec, const std::string &region, absl::Time now, Outbox &outbox);
    void changeHolder(const std::string &poolName, Pool &pool, absl::Time now, Outbox &outbox);
    void report(const std::string &poolName, Pool &pool, absl::Time now, Outbox &outbox);
    [[nodiscard]] static nlohmann::json poolStatus(const Pool &pool, absl::Time now);

    const HostContext &context;
    const std::string self;

    mutable std::mutex mutex;
    SlotDirectory directory;
    std::map<std::string, Pool> pools;
    std::map<std::string, CrashSuspects> suspects;
    JoinNotices joins;
    absl::flat_hash_map<std::uint64_t, std::shared_ptr<Ask>> asks;
    absl::flat_hash_map<std::uint64_t, Ticket> tickets;
    /** Withdrawn asks whose grant may still arrive, with their pools; bounded. */
    std::deque<std::pair<std::uint64_t, std::string>> withdrawn;
    std::map<std::string, absl::Time> lastHeard;
    std::map<std::string, absl::Time> lastUnanswered;
    std::uint64_t nextNumber;
    LocalRouting baseline;
    std::minstd_rand random;
    absl::Time lastReport = absl::InfinitePast();
    std::uint64_t fallbacks = 0;
    // Last, so that the timer ends before the rest is destroyed.
    TimerSubscription timer;
};

} // namespace Bergamotramp
