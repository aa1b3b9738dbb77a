#pragma once

#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/time/time.h>

#include "LimitShares.h"
#include "QuotaBucket.h"
#include "QuotaTerms.h"

namespace Bergamotramp {

/**
 * Divides the quotas of organisations among a few hosts each, their holders, and tells the share of this host. All hosts choose the
 * holders by the same rendezvous hash, so that no message is needed to agree.
 */
class QuotaHolders
{
public:
    /** A share that grows or begins because hosts came or went does so after this time, when the former holders have learned of it. */
    static constexpr absl::Duration handoverDelay = LimitShares::handoverDelay;
    /** A host that starts grants nothing until it has learned of no further host for this long, or until maxSettleTime. */
    static constexpr absl::Duration settleTime = absl::Milliseconds(250);
    static constexpr absl::Duration maxSettleTime = absl::Seconds(1);
    /** Part of a quota that a host grants which expects other hosts and has heard from none. */
    static constexpr double shareOfLoneHost = 1.0 / 16;
    /** Changes of the hosts that are remembered. */
    static constexpr std::size_t maxVersions = 16;

    /** The part of a quota that this host may grant, and since when its bucket fills. */
    struct Part {
        double fraction = 0;
        /** Since when this host has been a holder without a break, as far as it remembers. */
        absl::Time heldSince = absl::InfiniteFuture();
        absl::Time filledSince = absl::InfiniteFuture();

        bool operator==(const Part &) const = default;
    };

    QuotaHolders(LimitMember self, absl::Time startedAt);

    /** Puts the known hosts in force. @p members includes this host; @p expectsOthers: whether the addresses of other hosts are known. */
    void update(std::vector<LimitMember> members, bool expectsOthers, absl::Time now);
    /** The part of this host, with a fraction of 0 when it is no holder. */
    [[nodiscard]] Part part(std::string_view organisation, const QuotaTerms &terms, absl::Time now) const;
    /** The holders that are live, the near ones first. */
    [[nodiscard]] std::vector<std::string> holders(std::string_view organisation, const QuotaTerms &terms) const;
    /** Increases with each change of the hosts. */
    [[nodiscard]] std::uint64_t revision() const;

    [[nodiscard]] static QuotaShare share(const QuotaTerms &terms, const Part &part);

private:
    /** The hosts that were known during a period. */
    struct Version {
        std::vector<LimitMember> members;
        std::vector<std::string> live;
        absl::Time since;
    };

    [[nodiscard]] double fractionIn(const Version &version, std::string_view organisation, std::size_t count) const;
    [[nodiscard]] bool settled(absl::Time now) const;

    LimitMember self;
    absl::Time startedAt;
    /** The newest one last. */
    std::deque<Version> versions;
    bool expectsOthers = false;
    /** Whether the first version began with the process. */
    bool knowsSinceStart = true;
    absl::Time changedAt;
    std::uint64_t changes = 0;
};

} // namespace Bergamotramp
