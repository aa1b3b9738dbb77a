#pragma once

#include <cstdint>

#include <absl/time/time.h>

namespace Bergamotramp {

/** A hybrid logical time: microseconds of wall time and a counter that orders events within one microsecond. */
struct HybridTime {
    std::int64_t wallMicroseconds = 0;
    std::uint32_t counter = 0;

    auto operator<=>(const HybridTime &) const = default;

    /** Packs into 64 bits: 48 bits of wall time in units of 64 microseconds and 16 bits of counter. */
    [[nodiscard]] std::uint64_t pack() const;
    static HybridTime unpack(std::uint64_t packed);
};

/** Hybrid logical clock. Each time it returns is later than all times that it has returned or received before. */
class HybridClock
{
public:
    /** Advances the clock and returns the time of a local event. */
    HybridTime tick(absl::Time now);
    /** Advances the clock past @p remote, a time received from another host, and returns the time of the receipt. */
    HybridTime receive(HybridTime remote, absl::Time now);

private:
    HybridTime last;
};

} // namespace Bergamotramp
