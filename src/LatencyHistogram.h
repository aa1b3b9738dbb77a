#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include <absl/time/time.h>

namespace Bergamotramp {

/** Percentiles of the last few thousand latencies from 0.1 ms to 10 minutes, at most 13% too high. */
class LatencyHistogram
{
public:
    void record(absl::Duration latency);
    /**
     * The latency below which the share @p percentile, 0 to 1, of the records lies; nothing until there are enough
     * records.
     */
    [[nodiscard]] std::optional<absl::Duration> percentile(double percentile) const;

private:
    static constexpr std::size_t bucketCount = 128;

    std::array<std::uint32_t, bucketCount> buckets{};
    std::uint32_t samples = 0;
};

} // namespace Bergamotramp
