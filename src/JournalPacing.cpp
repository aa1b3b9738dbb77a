#include "JournalPacing.h"

#include <algorithm>
#include <utility>

#include <absl/strings/str_cat.h>

#include "RendezvousHash.h"

namespace Bergamotramp {

JournalPacing::JournalPacing(std::string name, absl::Duration first, absl::Duration longest)
    : name(std::move(name)), first(first), longest(longest), pause(first)
{
}

// Spread by host and try, so that the holders of many shards don't return to the store at once.
void JournalPacing::failed(std::uint64_t attempt, absl::Time now)
{
    const double spread = 0.5 + static_cast<double>(stableHash(absl::StrCat(this->name, "/", attempt)) % 1000) / 1000.0;
    this->retryAt = now + this->pause * spread;
    this->pause = std::min(this->pause * 2, this->longest);
}

void JournalPacing::succeeded()
{
    this->pause = this->first;
}

bool JournalPacing::takeDue(absl::Time now)
{
    if (now < this->retryAt) {
        return false;
    }
    this->retryAt = absl::InfiniteFuture();
    return true;
}

void JournalPacing::clear()
{
    this->pause = this->first;
    this->retryAt = absl::InfiniteFuture();
}

} // namespace Bergamotramp
