#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include <absl/time/time.h>
#include <nlohmann/json.hpp>

#include "HostContext.h"
#include "SlotTypes.h"
#include "bergamotramp.pb.h"

namespace Bergamotramp {

/** A request for one slot of a service. */
struct SlotDemand {
    std::string service;
    wire::WorkClass workClass = wire::WORK_CLASS_ONLINE;
    std::string organisation;
    /** The latest time at which a grant is of use; infinite for none. */
    absl::Time deadline = absl::InfiniteFuture();
    /** Hash of service and body, without the idempotency key. */
    std::uint64_t fingerprint = 0;
    std::uint32_t expectedTokens = 0;
    /** Upstreams that earlier attempts of the same request used; avoided while there are others. */
    std::vector<std::string> excludedUpstreams;
    /** Batch only: when the job is due. */
    absl::Time due = absl::InfiniteFuture();
    /** Set by the caller when it no longer wants the slot; may be null. */
    std::shared_ptr<const std::atomic<bool>> withdrawn;

    bool operator==(const SlotDemand &) const = default;
};

/** A held slot; belongs to release(). */
struct SlotTicket {
    std::uint64_t grant = 0;
    std::string service;
    std::string upstream;
    std::string address;
    /** Granted by this host out of its bounded share, because the pool's holder did not answer. */
    bool fallback = false;

    bool operator==(const SlotTicket &) const = default;
};

/** No slot; nothing was sent to an upstream. Codes: see SlotPool.h, and "unknown_service". */
struct SlotDenial {
    std::string code;
    absl::Duration retryAfter;

    bool operator==(const SlotDenial &) const = default;
};

/** Use of the slots of one service, in the pools that a host holds. */
struct SlotUsage {
    std::int64_t total = 0;
    std::int64_t online = 0;
    std::int64_t batch = 0;
    std::int64_t onlineQueued = 0;
    std::int64_t batchQueued = 0;

    bool operator==(const SlotUsage &) const = default;
};

/**
 * Slots for the requests of one host. Runs the pools that this host holds and asks the holders of the others.
 * Thread-safe. acquire() is the only call that blocks.
 */
class SlotService
{
public:
    explicit SlotService(const HostContext &context);
    ~SlotService();
    SlotService(const SlotService &) = delete;
    SlotService &operator=(const SlotService &) = delete;

    /**
     * Blocks until a slot is granted, denied or the deadline passes. @p revoked is called at most once, on a thread of
     * the service, when the slot is needed by online work: the caller then cancels the attempt and calls release(). It
     * must not block and is not called after release() returns.
     */
    std::variant<SlotTicket, SlotDenial> acquire(const SlotDemand &demand, std::function<void()> revoked);
    /** Ends a ticket; later calls with the same ticket have no effect. */
    void release(const SlotTicket &ticket, const GrantOutcome &outcome);
    /** Reports the tokens received so far; decides which batch request is cheapest to revoke. */
    void progress(const SlotTicket &ticket, std::uint32_t tokens);
    /** Takes a SLOT_* or SUSPECT message; called on the transport's thread, does not block. */
    void handle(const wire::Envelope &envelope);
    /** To be called after the catalogue in force changed. */
    void catalogueChanged();
    /** Pools held here with in-flight counts, queue lengths and scores, and tickets held by this host. */
    [[nodiscard]] nlohmann::json status() const;
    /** By service; all zero for a service whose pools other hosts hold. */
    [[nodiscard]] std::map<std::string, SlotUsage> usage() const;

private:
    class State;

    std::unique_ptr<State> state;
};

} // namespace Bergamotramp
