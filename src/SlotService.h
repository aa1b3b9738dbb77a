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
    /** A grant after this time is of no use; infinite for no deadline. */
    absl::Time deadline = absl::InfiniteFuture();
    /** Hash of the service, path and body; the idempotency key is not included. */
    std::uint64_t fingerprint = 0;
    std::uint32_t expectedTokens = 0;
    /** Upstreams that other attempts of the same request used; avoided while others are available. */
    std::vector<std::string> excludedUpstreams;
    /** Batch work only: when the job has to be complete. */
    absl::Time due = absl::InfiniteFuture();
    /** Set by the caller when it no longer wants the slot; may be null. */
    std::shared_ptr<const std::atomic<bool>> withdrawn;

    bool operator==(const SlotDemand &) const = default;
};

/** A granted slot; to be passed to release() when the attempt has ended. */
struct SlotTicket {
    std::uint64_t grant = 0;
    std::string service;
    std::string upstream;
    std::string address;
    /** This host granted the slot from its bounded share, because the pool's holder did not answer. */
    bool fallback = false;

    bool operator==(const SlotTicket &) const = default;
};

/** A denied slot request; nothing was sent to an upstream. The code is one of SlotDenialCode or "unknown_service". */
struct SlotDenial {
    std::string code;
    absl::Duration retryAfter;

    bool operator==(const SlotDenial &) const = default;
};

/** Slots and queue lengths of one service, summed over the pools that a host runs. */
struct SlotUsage {
    std::int64_t total = 0;
    std::int64_t online = 0;
    std::int64_t batch = 0;
    std::int64_t onlineQueued = 0;
    std::int64_t batchQueued = 0;

    bool operator==(const SlotUsage &) const = default;
};

/**
 * Acquires slots for the requests of one host. A slot is the permission to run one request on an upstream. A pool holds the
 * slots of one model service in one region and is run by one host, its holder. This class runs the pools that this host
 * holds and requests slots of other pools from their holders. Slots of plain services are granted by each host itself, from
 * its share. Thread-safe. acquire() is the only call that blocks.
 */
class SlotService
{
public:
    explicit SlotService(const HostContext &context);
    ~SlotService();
    SlotService(const SlotService &) = delete;
    SlotService &operator=(const SlotService &) = delete;

    /**
     * Blocks until a slot is granted or denied, or the deadline passes. @p revoked is called at most once, on a thread of
     * the service, when online work needs the slot: the caller then has to cancel the attempt and call release(). The hook
     * must not block and is not called after release() has returned.
     */
    std::variant<SlotTicket, SlotDenial> acquire(const SlotDemand &demand, std::function<void()> revoked);
    /** Releases a slot; later calls with the same ticket have no effect. */
    void release(const SlotTicket &ticket, const GrantOutcome &outcome);
    /** Records the tokens received so far, which decide which batch request is cheapest to revoke. */
    void progress(const SlotTicket &ticket, std::uint32_t tokens);
    /** Handles a slot message or crash notice from another host; called on the transport's thread, does not block. */
    void handle(const wire::Envelope &envelope);
    /** To be called after the catalogue in force changed. */
    void catalogueChanged();
    /** Status as JSON: in-flight counts, queue lengths and scores of the pools, and the number of slots that this host holds. */
    [[nodiscard]] nlohmann::json status() const;
    /** Slot usage by service; all zero for a service whose pools are run by other hosts. */
    [[nodiscard]] std::map<std::string, SlotUsage> usage() const;

private:
    class State;

    std::unique_ptr<State> state;
};

} // namespace Bergamotramp
