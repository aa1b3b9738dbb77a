#pragma once

#include <cstdint>

#include <absl/time/time.h>

namespace Bergamotramp {

/** Part of a quota as a token bucket: a rate in tokens per second, and the most tokens that it holds. */
struct QuotaShare {
    double rate = 0;
    double capacity = 0;

    bool operator==(const QuotaShare &) const = default;
};

/** The tokens that a holder may grant of one organisation's quota. */
class QuotaBucket
{
public:
    /** A host that got too few tokens is told to ask again within this time. */
    static constexpr absl::Duration maxAskAgain = absl::Milliseconds(500);
    /** When a host that grants nothing at present may be asked again. */
    static constexpr absl::Duration askAgainWithoutShare = absl::Milliseconds(200);

    /** The bucket has filled since @p filledSince, a time in the past or the future. */
    QuotaBucket(const QuotaShare &share, absl::Time filledSince, absl::Time now);

    /** Puts another share in force. The time since the last call counts with the lower rate of both. */
    void setShare(const QuotaShare &share, absl::Time now);
    /**
     * Grants up to @p needed tokens, and then up to @p ahead, which are not certain to be used and leave half of the capacity to other
     * hosts.
     */
    std::uint32_t grant(std::uint32_t needed, std::uint32_t ahead, absl::Time now);
    /** Takes the next place in the order in which hosts that got too few tokens ask again; the time until then. */
    absl::Duration reserveAskAgain(absl::Time now);
    /** Tokens in the bucket. */
    [[nodiscard]] double level(absl::Time now) const;

private:
    QuotaShare share;
    double saved = 0;
    /** When saved was last brought up to date. A time in the future is the start of a new share. */
    absl::Time savedAt;
    absl::Time lastAskAgainAt = absl::InfinitePast();
};

} // namespace Bergamotramp
