#pragma once

#include <cstddef>
#include <cstdint>

#include <absl/time/time.h>

namespace Bergamotramp {

/** Estimates from recent online requests of one pool how many slots they need, how long they wait and which are long. */
class OnlineDemand
{
public:
    void onArrival(absl::Time now, std::uint32_t expectedTokens);
    void onServed(absl::Duration inService, std::uint32_t tokens);

    /** Free slots that batch work has to leave, at least @p share of the slots that online work does not use. */
    [[nodiscard]] std::int64_t reserve(std::int64_t slots, std::int64_t onlineInFlight, double share, absl::Time now) const;
    /** Expected wait behind @p ahead requests; zero until requests were served. */
    [[nodiscard]] absl::Duration expectedWait(std::size_t ahead, std::int64_t slots) const;
    /** Whether a request asks for many more tokens than most. */
    [[nodiscard]] bool expectedLong(std::uint32_t expectedTokens) const;
    /** Whether a running request already produced many more tokens than most. */
    [[nodiscard]] bool runningLong(std::uint32_t tokens) const;
    [[nodiscard]] double arrivalsPerSecond(absl::Time now) const;
    [[nodiscard]] absl::Duration serviceTime() const;
    /** Expected time in service of a request with this token limit, 0 for none; zero until requests were served. */
    [[nodiscard]] absl::Duration expectedService(std::uint32_t expectedTokens) const;

private:
    double arrivals = 0.0;
    absl::Time lastArrival = absl::InfinitePast();
    double meanExpected = 0.0;
    std::size_t expectedSamples = 0;
    double meanTokens = 0.0;
    double meanSeconds = 0.0;
    std::size_t served = 0;
};

} // namespace Bergamotramp
