#include "StreamPace.h"

#include <algorithm>

namespace Bergamotramp {

namespace {

// Fewer tokens mistake the jitter of one token for a slow engine, more notice a slowdown later.
constexpr std::size_t window = 5;

} // namespace

void StreamPace::onToken(absl::Time at)
{
    this->recent.push_back(at);
    if (this->recent.size() > window) {
        this->recent.pop_front();
    }
    ++this->count;
}

absl::Duration StreamPace::interval(absl::Time now) const
{
    if (this->recent.empty()) {
        return absl::ZeroDuration();
    }
    const auto tokensInWindow = static_cast<std::int64_t>(this->recent.size());
    const absl::Duration withWait = (now - this->recent.front()) / tokensInWindow;
    const absl::Duration received = tokensInWindow > 1 ? (this->recent.back() - this->recent.front()) / (tokensInWindow - 1) : absl::ZeroDuration();
    return std::max(withWait, received);
}

absl::Time StreamPace::exceeds(absl::Duration limit) const
{
    if (this->recent.empty()) {
        return absl::InfiniteFuture();
    }
    if (this->interval(this->recent.back()) > limit) {
        return this->recent.back();
    }
    return this->recent.front() + static_cast<std::int64_t>(this->recent.size()) * limit;
}

std::uint32_t StreamPace::tokens() const
{
    return this->count;
}

} // namespace Bergamotramp
