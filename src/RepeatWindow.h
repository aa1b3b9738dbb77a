#pragma once

#include <array>
#include <cstdint>

#include <absl/time/time.h>

namespace Bergamotramp {

/** Counts the requests of one service and their repeats over a sliding window. */
class RepeatWindow
{
public:
    static constexpr absl::Duration length = absl::Seconds(10);

    void addRequest(absl::Time now);
    void addRepeat(absl::Time now);
    /** Requests of a period that ends at @p now and is not longer than the window. */
    [[nodiscard]] std::uint64_t requests(absl::Time now) const;
    /** Repeats of a period that ends at @p now and is not shorter than the window. */
    [[nodiscard]] std::uint64_t repeats(absl::Time now) const;

private:
    static constexpr std::int64_t sliceCount = 20;

    struct Slice {
        std::int64_t number = -1;
        std::uint32_t requests = 0;
        std::uint32_t repeats = 0;
    };

    [[nodiscard]] static std::int64_t sliceNumber(absl::Time now);
    Slice &sliceAt(absl::Time now);

    /** One slice more than the window has, because the oldest one lies only partly in it. */
    std::array<Slice, sliceCount + 1> slices{};
};

} // namespace Bergamotramp
