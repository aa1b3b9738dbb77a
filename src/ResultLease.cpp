#include "ResultLease.h"

#include <algorithm>

namespace Bergamotramp {

// The next runner's fence is created after every call that renews the lease, so its results are stored after the lease has expired. The
// difference covers the way of an answer to its reader.
static_assert(ResultLease::successorDelay > ResultLease::length);

void ResultLease::renew(absl::Time sent)
{
    this->validUntil = std::max(this->validUntil, sent + length);
}

void ResultLease::revoke()
{
    this->validUntil = absl::InfinitePast();
}

bool ResultLease::isValid(absl::Time now) const
{
    return now < this->validUntil;
}

} // namespace Bergamotramp
