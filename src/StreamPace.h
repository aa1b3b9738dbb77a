#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

#include <absl/time/time.h>

namespace Bergamotramp {

/** The recent speed of one running stream, from the arrival times of its tokens. */
class StreamPace
{
public:
    void onToken(absl::Time at);
    /** Mean time per token of the last few tokens, the wait for the next one included; zero before the first token. */
    [[nodiscard]] absl::Duration interval(absl::Time now) const;
    /** When interval() exceeds @p limit unless another token arrives; infinite before the first token. */
    [[nodiscard]] absl::Time exceeds(absl::Duration limit) const;
    [[nodiscard]] std::uint32_t tokens() const;

private:
    std::deque<absl::Time> recent;
    std::uint32_t count = 0;
};

} // namespace Bergamotramp
