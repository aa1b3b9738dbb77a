#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include "StatedLimits.h"
#include "UpstreamTable.h"

namespace Bergamotramp {

/** A host among which the limit of an upstream is divided. */
struct LimitMember {
    std::string name;
    std::string dataCentre;
    std::string region;
    /** Whether it can send requests now; false for a host that has fallen silent and may be cut off or down. */
    bool live = true;

    auto operator<=>(const LimitMember &) const = default;
};

/** Class of a request to a limited upstream. Batch requests get what online requests leave. */
enum class LimitedClass {
    Online,
    Batch,
};

/**
 * Divides the limit of each limited upstream among a few hosts, its holders, and decides whether this host may send a request to it
 * now. All hosts choose the holders by the same rendezvous hash, so that no message is needed to agree. A host that is no holder sends
 * nothing to the upstream.
 */
class LimitShares
{
public:
    /** No holder gets less than this, as long as the limit suffices for one, in requests per second. */
    static constexpr double minShare = 1.0;
    /** Requests that a holder may have saved up. */
    static constexpr double maxSaved = 1.5;
    /** Batch requests leave this much of the saved requests to online requests. */
    static constexpr double savedForOnline = 0.5;
    /** A host that becomes a holder because hosts came or went waits for this long, so that the former holder has learned of it. */
    static constexpr absl::Duration handoverDelay = absl::Seconds(2);

    /** Where the holders of an upstream are chosen. */
    struct Scope {
        /** In the data centre of the upstream if it has live hosts; otherwise in its region, and if that has none, anywhere. */
        bool sameDataCentre = false;

        bool operator==(const Scope &) const = default;
    };

    LimitShares(std::string self, absl::Time startedAt);

    /** Computes the shares of this host anew. @p members includes this host; @p limits are those of the registered @p upstreams. */
    void update(const std::vector<LimitReport> &limits,
                const std::vector<UpstreamInfo> &upstreams,
                const std::vector<LimitMember> &members,
                const Scope &scope,
                absl::Time now);

    /** Whether this host may send a request to the upstream now. */
    [[nodiscard]] bool mayStart(const UpstreamInfo &upstream, LimitedClass requestClass, absl::Time now) const;
    /** Takes a request that was sent to the upstream from the share. */
    void recordStart(const UpstreamInfo &upstream, absl::Time now);
    [[nodiscard]] bool isLimited(const UpstreamInfo &upstream) const;
    /** Requests per second that this host may send to the upstream; 0 when it is no holder. */
    [[nodiscard]] double rate(const UpstreamInfo &upstream) const;
    /** Number of limited upstreams, and of those that this host holds a share of. */
    [[nodiscard]] std::size_t limitedUpstreams() const;
    [[nodiscard]] std::size_t heldUpstreams() const;

private:
    struct Share {
        /** Limit of the upstream for all hosts, in requests per second. */
        double limit = 0;
        bool held = false;
        double rate = 0;
        double saved = 0;
        /** When saved was last brought up to date. A time in the future is the start of a new share. */
        absl::Time savedAt;
    };

    [[nodiscard]] static double savedBy(const Share &share, absl::Time now);
    [[nodiscard]] const Share *find(const UpstreamInfo &upstream) const;
    /** The share of this host of a limit; 0 when it is no holder. */
    [[nodiscard]] double shareOf(double limit, const UpstreamInfo &upstream) const;
    /** The share that follows @p former, which is null when the upstream had no limit. */
    [[nodiscard]] Share nextShare(double limit, const UpstreamInfo &upstream, const Share *former, absl::Time now) const;

    std::string self;
    absl::Time startedAt;
    std::vector<LimitMember> members;
    Scope scope;
    absl::flat_hash_map<std::uint32_t, Share> shares;
};

} // namespace Bergamotramp
