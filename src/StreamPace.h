#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

#include <absl/time/time.h>

namespace Bergamotramp {

/** The recent token rate of a running stream, from the arrival times of its last few tokens. */
class StreamPace
{
public:
    void onToken(absl::Time at);
    /** Mean time per token over the last few tokens, including the time since the last one; zero before the first token. */
    [[nodiscard]] absl::Duration tokenInterval(absl::Time now) const;
    /** Time at which tokenInterval() exceeds @p limit if no other token arrives; infinite future before the first token. */
    [[nodiscard]] absl::Time exceedsAt(absl::Duration limit) const;
    [[nodiscard]] std::uint32_t tokens() const;

private:
    std::deque<absl::Time> arrivals;
    std::uint32_t tokenCount = 0;
};

} // namespace Bergamotramp
