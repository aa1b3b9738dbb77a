#include "StreamPace.h"

#include <algorithm>

namespace Bergamotramp {

namespace {

// With fewer tokens, jitter of one token looks like a slow upstream. With more tokens, a slowdown is detected later.
constexpr std::size_t windowTokens = 5;

} // namespace

void StreamPace::onToken(absl::Time at)
{
    this->arrivals.push_back(at);
    if (this->arrivals.size() > windowTokens) {
        this->arrivals.pop_front();
    }
    ++this->tokenCount;
}

absl::Duration StreamPace::tokenInterval(absl::Time now) const
{
    if (this->arrivals.empty()) {
        return absl::ZeroDuration();
    }
    const auto tokensInWindow = static_cast<std::int64_t>(this->arrivals.size());
    const absl::Duration intervalWithWait = (now - this->arrivals.front()) / tokensInWindow;
    const absl::Duration receivedInterval = tokensInWindow > 1 ? (this->arrivals.back() - this->arrivals.front()) / (tokensInWindow - 1) : absl::ZeroDuration();
    return std::max(intervalWithWait, receivedInterval);
}

absl::Time StreamPace::exceedsAt(absl::Duration limit) const
{
    if (this->arrivals.empty()) {
        return absl::InfiniteFuture();
    }
    if (this->tokenInterval(this->arrivals.back()) > limit) {
        return this->arrivals.back();
    }
    return this->arrivals.front() + static_cast<std::int64_t>(this->arrivals.size()) * limit;
}

std::uint32_t StreamPace::tokens() const
{
    return this->tokenCount;
}

} // namespace Bergamotramp
