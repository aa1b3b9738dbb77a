#include "Percentiles.h"

#include <algorithm>
#include <cmath>

namespace Bergamotramp {

double nearestRank(const std::vector<double> &sorted, double percent)
{
    if (sorted.empty()) {
        return 0;
    }
    const double rank = std::ceil(percent / 100 * static_cast<double>(sorted.size()));
    const auto index = static_cast<std::size_t>(std::max(rank, 1.0)) - 1;
    return sorted[std::min(index, sorted.size() - 1)];
}

Percentiles Percentiles::of(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return {
        values.size(), nearestRank(values, 50), nearestRank(values, 90), nearestRank(values, 95), nearestRank(values, 99), values.empty() ? 0 : values.back()};
}

nlohmann::json Percentiles::toJson() const
{
    const auto rounded = [](double value) { return std::round(value * 1000) / 1000; };
    return {{"count", this->count},
            {"p50", rounded(this->p50)},
            {"p90", rounded(this->p90)},
            {"p95", rounded(this->p95)},
            {"p99", rounded(this->p99)},
            {"max", rounded(this->max)}};
}

} // namespace Bergamotramp
