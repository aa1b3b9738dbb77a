#include "JournalBackoff.h"

#include <algorithm>
#include <utility>

#include <absl/strings/str_cat.h>

#include "RendezvousHash.h"

namespace Bergamotramp {

JournalBackoff::JournalBackoff(std::string name, absl::Duration initialDelay, absl::Duration maxDelay)
    : name(std::move(name)), initialDelay(initialDelay), maxDelay(maxDelay), delay(initialDelay)
{
}

// The jitter depends on host, shard and attempt, so that the holders of many shards don't retry at the same time.
void JournalBackoff::scheduleRetry(std::uint64_t attempt, absl::Time now)
{
    const double jitter = 0.5 + static_cast<double>(stableHash(absl::StrCat(this->name, "/", attempt)) % 1000) / 1000.0;
    this->retryAt = now + this->delay * jitter;
    this->delay = std::min(this->delay * 2, this->maxDelay);
}

void JournalBackoff::resetDelay()
{
    this->delay = this->initialDelay;
}

bool JournalBackoff::takeDue(absl::Time now)
{
    if (now < this->retryAt) {
        return false;
    }
    this->retryAt = absl::InfiniteFuture();
    return true;
}

void JournalBackoff::clear()
{
    this->delay = this->initialDelay;
    this->retryAt = absl::InfiniteFuture();
}

} // namespace Bergamotramp
