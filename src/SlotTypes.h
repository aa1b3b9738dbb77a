#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <absl/time/time.h>

#include "bergamotramp.pb.h"

namespace Bergamotramp {

/** Names a request for a slot, and the grant that answers it, across all hosts. */
struct GrantId {
    std::string host;
    /** Unique among all runs of the host. */
    std::uint64_t number = 0;

    auto operator<=>(const GrantId &) const = default;

    // Abseil finds the hash function by this name.
    template <typename H>
    friend H AbslHashValue(H state, const GrantId &id) // NOLINT(readability-identifier-naming)
    {
        return H::combine(std::move(state), id.host, id.number);
    }
};

/** An upstream as its pool sees it. */
struct PoolUpstream {
    std::string name;
    std::string address;
    std::int64_t slots = 0;
    bool leaving = false;

    bool operator==(const PoolUpstream &) const = default;
};

/** A request for a slot of a pool. */
struct PoolRequest {
    GrantId id;
    wire::WorkClass workClass = wire::WORK_CLASS_ONLINE;
    std::string organisation;
    absl::Time deadline = absl::InfiniteFuture();
    std::uint64_t fingerprint = 0;
    std::uint32_t expectedTokens = 0;
    std::vector<std::string> excludedUpstreams;
    /** When the job is due; of an online request, when its answer has to be complete. */
    absl::Time due = absl::InfiniteFuture();

    bool operator==(const PoolRequest &) const = default;
};

/** A slot that a host reports as held. */
struct HeldGrant {
    std::uint64_t number = 0;
    std::string upstream;
    wire::WorkClass workClass = wire::WORK_CLASS_ONLINE;
    std::uint64_t fingerprint = 0;
    std::string organisation;
    std::uint32_t tokens = 0;

    bool operator==(const HeldGrant &) const = default;
};

/** What became of a grant. Durations that were not observed are zero. */
struct GrantOutcome {
    wire::SlotResult result = wire::SLOT_RESULT_COMPLETED;
    absl::Duration firstToken;
    absl::Duration betweenTokens;
    std::uint32_t tokens = 0;

    bool operator==(const GrantOutcome &) const = default;
};

/** The request may run on this upstream. */
struct SlotGranted {
    GrantId id;
    std::string upstream;
    std::string address;

    bool operator==(const SlotGranted &) const = default;
};

/** The request gets no slot and was not run. */
struct SlotDenied {
    GrantId id;
    std::string code;
    absl::Duration retryAfter;

    bool operator==(const SlotDenied &) const = default;
};

/** The holder of the grant has to cancel its attempt and release the slot. */
struct SlotRevoked {
    GrantId id;

    bool operator==(const SlotRevoked &) const = default;
};

/** All hosts have to learn this crash count; 0 clears a suspect. */
struct SuspectChanged {
    std::uint64_t fingerprint = 0;
    std::uint32_t crashes = 0;

    bool operator==(const SuspectChanged &) const = default;
};

using SlotAction = std::variant<SlotGranted, SlotDenied, SlotRevoked, SuspectChanged>;
using SlotActions = std::vector<SlotAction>;

/** Codes of SlotDenied. */
namespace SlotDenialCode {
/** The deadline passes before a slot is expected to be free. */
inline constexpr const char *deadline = "deadline";
/** The queue is full. */
inline constexpr const char *overloaded = "overloaded";
/** The pool has no upstream that takes work. */
inline constexpr const char *noUpstream = "no_upstream";
/** The request crashed CrashSuspects::crashesToConvict upstreams. */
inline constexpr const char *quarantined = "quarantined";
} // namespace SlotDenialCode

} // namespace Bergamotramp
