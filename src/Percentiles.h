#pragma once

#include <cstddef>
#include <vector>

#include <nlohmann/json.hpp>

namespace Bergamotramp {

/** Nearest-rank percentiles of a set of measurements, in the unit of the measurements. */
struct Percentiles {
    std::size_t count = 0;
    double p50 = 0;
    double p90 = 0;
    double p95 = 0;
    double p99 = 0;
    double max = 0;

    bool operator==(const Percentiles &) const = default;

    static Percentiles of(std::vector<double> values);
    [[nodiscard]] nlohmann::json toJson() const;
};

/** The smallest of the ascending @p sorted values such that at least @p percent of the values are less than or equal to it; 0 without values. */
double nearestRank(const std::vector<double> &sorted, double percent);

} // namespace Bergamotramp
