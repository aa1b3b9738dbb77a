#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <absl/time/time.h>

#include "StoreTypes.h"

namespace Bergamotramp {

/** A lease as its object in the store says. */
struct LeaseRecord {
    /** Empty when the lease was given back. */
    std::string holder;
    std::uint64_t incarnation = 0;
    /** Grows with every change of holder; the fencing token of the holder's orders. */
    std::uint64_t epoch = 0;
    /** Number of the holder's write; tells its own write apart after a lost answer. */
    std::uint64_t renewal = 0;
    absl::Duration length;
    /** By the holder's clock; for operators, since clocks of hosts differ. */
    absl::Time expiry;

    bool operator==(const LeaseRecord &) const = default;

    [[nodiscard]] std::string toJsonText() const;
    /** Returns nothing when the text isn't a lease. */
    static std::optional<LeaseRecord> fromJsonText(std::string_view text);
};

struct LeaseSettings {
    std::string name;
    std::string host;
    std::uint64_t incarnation = 0;
    absl::Duration length = absl::Seconds(10);
    absl::Duration renewPeriod = absl::Seconds(3);
    /** Between two looks at another holder's lease. */
    absl::Duration watchPeriod = absl::Seconds(2);
    /** After a call that the store refused or did not answer. */
    absl::Duration retryPause = absl::Milliseconds(500);
};

/** A call of the store: a read, or a conditional write when there is a value. */
struct LeaseCall {
    std::string key;
    std::optional<std::string> value;
    Precondition precondition;

    bool operator==(const LeaseCall &) const = default;
};

/**
 * Takes and renews one lease. Not thread-safe; at most one call of the store is outstanding. A lease doesn't protect data: a holder that is
 * paused between holds() and what it does may act after its lease has expired.
 */
class Lease
{
public:
    explicit Lease(LeaseSettings settings);

    /** The next call of the store, if one is due. */
    std::optional<LeaseCall> tick(absl::Time now);
    /** Result of a read; nothing for an absent object. Not called when the store did not answer. */
    void objectRead(const std::optional<StoredObject> &object, absl::Time now);
    void writeSettled(const WriteResult &result, absl::Time now);
    /** The outstanding read got no answer. */
    void readFailed(absl::Time now);
    /** Gives the lease back with the next call and takes it no more. */
    void release();

    [[nodiscard]] bool holds(absl::Time now) const;
    /** The time until which the lease is held. */
    [[nodiscard]] absl::Time heldUntil() const;
    /** Epoch of the lease while it is held. */
    [[nodiscard]] std::uint64_t epoch() const;
    /** When the lease was taken. */
    [[nodiscard]] absl::Time takenAt() const;

private:
    enum class Call {
        None,
        Read,
        Write,
    };

    std::optional<LeaseCall> read();
    std::optional<LeaseCall> write(absl::Time now);
    [[nodiscard]] bool isOwn(const LeaseRecord &record) const;
    [[nodiscard]] bool mayTake(absl::Time now) const;
    void adopt(std::uint64_t newVersion, absl::Time now);

    LeaseSettings settings;
    Call outstanding = Call::None;
    /** The stored record and its version, as far as known; the version is 0 for an absent object. */
    LeaseRecord stored;
    std::uint64_t version = 0;
    bool known = false;
    absl::Time firstSeen = absl::InfiniteFuture();
    LeaseRecord proposed;
    absl::Time sentAt;
    bool held = false;
    bool releasing = false;
    absl::Time validUntil = absl::InfinitePast();
    absl::Time taken = absl::InfinitePast();
    absl::Time nextCall = absl::InfinitePast();
    std::uint64_t renewals = 0;
};

} // namespace Bergamotramp
