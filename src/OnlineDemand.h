#pragma once

#include <cstddef>
#include <cstdint>

#include <absl/time/time.h>

namespace Bergamotramp {

/**
 * Estimates from the recent online requests of one pool how many slots they need, how long they wait and run, and which
 * ones are unusually long.
 */
class OnlineDemand
{
public:
    void onArrival(absl::Time now, std::uint32_t expectedTokens);
    void onServed(absl::Duration timeInService, std::uint32_t tokens);

    /**
     * Free slots that batch work has to leave: those that online requests are expected to need, and at least @p share
     * of the slots that they do not use.
     */
    [[nodiscard]] std::int64_t reserve(std::int64_t slots, std::int64_t onlineInFlight, double share, absl::Time now) const;
    /** Expected wait behind @p ahead requests; zero until enough requests were served. */
    [[nodiscard]] absl::Duration expectedWait(std::size_t ahead, std::int64_t slots) const;
    /** Whether a request asks for many more tokens than the average. */
    [[nodiscard]] bool expectedLong(std::uint32_t expectedTokens) const;
    /** Whether a running request has already produced many more tokens than the average. */
    [[nodiscard]] bool runningLong(std::uint32_t tokens) const;
    [[nodiscard]] double arrivalsPerSecond(absl::Time now) const;
    /** Mean time that a request holds its slot. */
    [[nodiscard]] absl::Duration serviceTime() const;
    /** Expected service time of a request with this token limit, 0 for none; zero until enough requests were served. */
    [[nodiscard]] absl::Duration expectedService(std::uint32_t expectedTokens) const;

private:
    /** Number of arrivals, exponentially decayed to lastArrival. */
    double decayedArrivals = 0.0;
    absl::Time lastArrival = absl::InfinitePast();
    double meanExpectedTokens = 0.0;
    std::size_t expectedSamples = 0;
    double meanTokens = 0.0;
    double meanSeconds = 0.0;
    std::size_t served = 0;
};

} // namespace Bergamotramp
