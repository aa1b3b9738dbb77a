#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <absl/time/time.h>

#include "StoreTypes.h"

namespace Bergamotramp {

/** The stored record of a lease. */
struct LeaseRecord {
    /** Host that holds the lease; empty after it was released. */
    std::string holder;
    std::uint64_t incarnation = 0;
    /** Increases with every change of holder; used as fencing token of the holder's orders. */
    std::uint64_t epoch = 0;
    /** Number of the holder's write, by which the holder recognises its own write when the response was lost. */
    std::uint64_t renewal = 0;
    absl::Duration length;
    /** Expiry by the holder's clock. Only for operators: clocks of hosts differ, so no host decides by it. */
    absl::Time expiry;

    bool operator==(const LeaseRecord &) const = default;

    [[nodiscard]] std::string toJsonText() const;
    /** Returns nothing when the text isn't a lease record. */
    static std::optional<LeaseRecord> fromJsonText(std::string_view text);
};

struct LeaseSettings {
    std::string name;
    std::string host;
    std::uint64_t incarnation = 0;
    absl::Duration length = absl::Seconds(10);
    absl::Duration renewPeriod = absl::Seconds(3);
    /** Time between two reads of a lease that another host holds. */
    absl::Duration watchPeriod = absl::Seconds(2);
    /** Delay after a call that the store refused, or a read that it did not answer. */
    absl::Duration retryPause = absl::Milliseconds(500);
};

/** A call to the store: a conditional write if there is a value, otherwise a read. */
struct LeaseCall {
    std::string key;
    std::optional<std::string> value;
    Precondition precondition;

    bool operator==(const LeaseCall &) const = default;
};

/**
 * Acquires and renews one lease. Not thread-safe; at most one call to the store is outstanding. A lease alone doesn't protect data: a holder
 * that is paused between isHeld() and its next action may act after the lease has expired.
 */
class Lease
{
public:
    explicit Lease(LeaseSettings settings);

    /** The next call to the store, if one is due. */
    std::optional<LeaseCall> tick(absl::Time now);
    /** Reports the result of a read, nothing for an absent object. If the store did not answer, readFailed() is called instead. */
    void objectRead(const std::optional<StoredObject> &object, absl::Time now);
    void writeSettled(const WriteResult &result, absl::Time now);
    /** Reports that the outstanding read got no answer. */
    void readFailed(absl::Time now);
    /** Releases the lease with the next call; it is not acquired again. */
    void release();

    [[nodiscard]] bool isHeld(absl::Time now) const;
    /** The time until which the lease is held. */
    [[nodiscard]] absl::Time heldUntil() const;
    /** Epoch of the lease; valid while it is held. */
    [[nodiscard]] std::uint64_t epoch() const;
    /** When the lease was acquired. */
    [[nodiscard]] absl::Time acquiredAt() const;

private:
    enum class Call {
        None,
        Read,
        Write,
    };

    std::optional<LeaseCall> read();
    std::optional<LeaseCall> write(absl::Time now);
    [[nodiscard]] bool isOwn(const LeaseRecord &record) const;
    [[nodiscard]] bool mayAcquire(absl::Time now) const;
    void applyOwnWrite(std::uint64_t newVersion, absl::Time now);

    LeaseSettings settings;
    Call outstandingCall = Call::None;
    /** The last known record in the store and its version; the version is 0 for an absent object. */
    LeaseRecord stored;
    std::uint64_t version = 0;
    /** False before the first read, and after a write whose outcome is unknown or that conflicted. */
    bool storedKnown = false;
    /** When this host first saw the stored version. */
    absl::Time firstSeen = absl::InfiniteFuture();
    LeaseRecord proposed;
    absl::Time sentAt;
    bool held = false;
    bool releasing = false;
    absl::Time validUntil = absl::InfinitePast();
    absl::Time acquisitionTime = absl::InfinitePast();
    absl::Time nextCallTime = absl::InfinitePast();
    std::uint64_t writeCount = 0;
};

} // namespace Bergamotramp
