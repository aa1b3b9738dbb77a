#include "QuotaHolders.h"

#include <gtest/gtest.h>

#include "OrganisationQuotas.h"
#include "QuotaLease.h"
#include "RendezvousHash.h"

namespace Bergamotramp {

namespace {

const absl::Time start = absl::FromUnixSeconds(1'000'000);
const LimitMember self{.name = "host-a", .dataCentre = "a", .region = "north"};
const LimitMember other{.name = "host-b", .dataCentre = "a", .region = "north"};
const Organisation acme{.name = "acme", .requestsPerSecond = 160, .burst = 200};
const QuotaTerms terms = QuotaTerms::of(acme);

absl::Time at(int milliseconds)
{
    return start + absl::Milliseconds(milliseconds);
}

double fractionAt(const QuotaHolders &holders, int milliseconds)
{
    return holders.part(acme.name, terms, at(milliseconds)).fraction;
}

// Guards against a host that grants the part of a small fleet right after its start, before it has learned of the other hosts.
TEST(QuotaHoldersTest, hostGrantsNothingBeforeItsViewHasSettled)
{
    QuotaHolders holders(self, start);
    holders.update({self, other}, true, at(100));
    EXPECT_EQ(fractionAt(holders, 200), 0.0);
    EXPECT_EQ(fractionAt(holders, 350), 0.5);
}

// Guards against a part that is granted by its new holder and, until the loss of a host is known everywhere, by the former one.
TEST(QuotaHoldersTest, partThatGrowsWaitsForTheFormerHolder)
{
    QuotaHolders holders(self, start);
    holders.update({self, other}, false, at(10));
    ASSERT_EQ(fractionAt(holders, 5000), 0.5);
    holders.update({self}, false, at(5000));
    EXPECT_EQ(fractionAt(holders, 6900), 0.5);
    EXPECT_EQ(fractionAt(holders, 7100), 1.0);
}

// Guards against a host that is cut off from its start on and takes itself for the whole fleet.
TEST(QuotaHoldersTest, hostThatHearsFromNobodyGrantsASmallPart)
{
    QuotaHolders holders(self, start);
    holders.update({self}, true, at(10));
    EXPECT_EQ(fractionAt(holders, 2000), QuotaHolders::shareOfLoneHost);
    holders.update({self}, false, at(2000));
    EXPECT_EQ(fractionAt(holders, 2000), 1.0);
}

// Guards against tokens that are used after the time for which their holder has reserved them.
TEST(QuotaLeaseTest, expiredTokensAreNotUsed)
{
    QuotaLease lease;
    lease.add(3, at(100));
    EXPECT_EQ(lease.take(at(99)), at(100));
    EXPECT_EQ(lease.take(at(100)), std::nullopt);
}

// Guards against a holder that was suspended and, when it goes on, grants what another host has granted in its place.
TEST(OrganisationQuotasTest, suspendedHolderBeginsWithAnEmptyBucket)
{
    std::uint32_t granted = 0;
    OrganisationQuotas quotas(self, start, 1, {.ask = {}, .answer = [&granted](const std::string &, const QuotaGrant &grant) { granted = grant.tokens; }});
    quotas.setOrganisations({acme}, start);
    const QuotaQuery query{.organisation = stableHash(acme.name), .number = 7, .needed = 5, .ahead = 0};
    for (int time = 0; time <= 3000; time += 50) {
        quotas.setMembers({self, other}, true, at(time));
    }
    quotas.receive(other.name, query, at(3000));
    ASSERT_EQ(granted, 5U);
    quotas.setMembers({self, other}, true, at(6000));
    quotas.receive(other.name, query, at(6000));
    EXPECT_EQ(granted, 0U);
}

} // namespace

} // namespace Bergamotramp
