#include "ResultLease.h"

#include <gtest/gtest.h>

namespace Bergamotramp {

namespace {

const absl::Time start = absl::FromUnixSeconds(1000);

// Guards against a runner that relies on its copy of the results before it has looked at the store.
TEST(ResultLeaseTest, isInvalidUntilItIsRenewed)
{
    EXPECT_FALSE(ResultLease().isValid(start));
}

// Guards against a lease that is counted from the answer of a call: the next runner may have created its fence in between.
TEST(ResultLeaseTest, countsFromTheTimeAtWhichTheCallWasSent)
{
    ResultLease lease;
    lease.renew(start);
    EXPECT_TRUE(lease.isValid(start + ResultLease::length - absl::Milliseconds(1)));
    EXPECT_FALSE(lease.isValid(start + ResultLease::length));
}

// Guards against a slow call whose answer shortens the lease that a later call has renewed.
TEST(ResultLeaseTest, lateAnswerDoesNotShortenIt)
{
    ResultLease lease;
    lease.renew(start + absl::Seconds(1));
    lease.renew(start);
    EXPECT_TRUE(lease.isValid(start + ResultLease::length));
}

// Guards against a lease that stays valid after another host has written to the chain.
TEST(ResultLeaseTest, revokedLeaseIsInvalid)
{
    ResultLease lease;
    lease.renew(start);
    lease.revoke();
    EXPECT_FALSE(lease.isValid(start));
}

} // namespace

} // namespace Bergamotramp
