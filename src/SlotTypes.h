#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <absl/time/time.h>

#include "CrashCount.h"
#include "bergamotramp.pb.h"

namespace Bergamotramp {

/** Identifies a slot request and the grant made for it, unique across all hosts. */
struct GrantId {
    std::string host;
    /** Unique across restarts of the host. */
    std::uint64_t number = 0;

    auto operator<=>(const GrantId &) const = default;

    // Abseil finds the hash function by this name.
    template <typename H>
    friend H AbslHashValue(H state, const GrantId &id) // NOLINT(readability-identifier-naming)
    {
        return H::combine(std::move(state), id.host, id.number);
    }
};

/** Configuration of an upstream in its pool. */
struct PoolUpstream {
    std::string name;
    std::string address;
    std::int64_t slots = 0;
    /** The upstream gets no new requests; running ones may end. */
    bool leaving = false;

    bool operator==(const PoolUpstream &) const = default;
};

/** A request for a slot of a pool. */
struct PoolRequest {
    GrantId id;
    wire::WorkClass workClass = wire::WORK_CLASS_ONLINE;
    std::string organisation;
    /** Latest time at which a grant is useful; a request that still waits then is denied. */
    absl::Time grantDeadline = absl::InfiniteFuture();
    /** Hash of service and body; 0 if unknown. Requests with the same fingerprint are copies of one request. */
    std::uint64_t fingerprint = 0;
    /** Token limit of the answer; 0 for none. */
    std::uint32_t expectedTokens = 0;
    /** Upstreams that earlier attempts used; avoided while others are usable. */
    std::vector<std::string> excludedUpstreams;
    /** When the batch job is due, or when the answer to an online request has to be complete. */
    absl::Time completionDeadline = absl::InfiniteFuture();

    bool operator==(const PoolRequest &) const = default;
};

/** A slot in use, as its host reports it to the pool. */
struct HeldGrant {
    std::uint64_t number = 0;
    std::string upstream;
    wire::WorkClass workClass = wire::WORK_CLASS_ONLINE;
    std::uint64_t fingerprint = 0;
    std::string organisation;
    /** Tokens received so far. */
    std::uint32_t tokens = 0;

    bool operator==(const HeldGrant &) const = default;
};

/** How the attempt that held a grant ended. Durations that were not observed are zero. */
struct GrantOutcome {
    wire::SlotResult result = wire::SLOT_RESULT_COMPLETED;
    /** Time to first token. */
    absl::Duration firstToken;
    /** Mean time between tokens. */
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

/** The host that holds the grant has to cancel its attempt and release the slot. */
struct SlotRevoked {
    GrantId id;

    bool operator==(const SlotRevoked &) const = default;
};

/** The crash count of a fingerprint changed and has to be sent to all hosts; 0 clears a suspect. */
using SuspectChanged = CrashCount;

using SlotAction = std::variant<SlotGranted, SlotDenied, SlotRevoked, SuspectChanged>;
using SlotActions = std::vector<SlotAction>;

/** Codes of SlotDenied, as sent to hosts. */
namespace SlotDenialCode {
/** The request is not expected to get a slot, or to complete, before its deadline. */
inline constexpr const char *deadline = "deadline";
/** The queue of the work class is full. */
inline constexpr const char *overloaded = "overloaded";
/** All upstreams of the pool are leaving, or it has none. */
inline constexpr const char *noUpstream = "no_upstream";
/** The online request was running on CrashQuarantine::crashesToQuarantine upstreams when they crashed. */
inline constexpr const char *quarantined = "quarantined";
} // namespace SlotDenialCode

} // namespace Bergamotramp
