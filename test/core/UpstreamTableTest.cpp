#include "UpstreamTable.h"

#include <gtest/gtest.h>

namespace Bergamotramp {

namespace {

const absl::Time start = absl::FromUnixSeconds(1'000'000);

UpstreamInfo upstream(const std::string &id)
{
    return {.id = id, .service = "modelo", .address = "10.0.0.1:80", .dataCentre = "recife-a", .slots = 8};
}

// Guards against new requests for an upstream that is leaving, or whose registration vanished without a notice.
TEST(UpstreamTableTest, leavingAndRemovedUpstreamsGetNoRequests)
{
    UpstreamTable table;
    table.put(upstream("one"));
    table.put(upstream("two"));
    UpstreamInfo leaving = upstream("one");
    leaving.leaving = true;
    table.put(leaving);
    table.remove("two", start);
    table.put(upstream("three"));
    ASSERT_EQ(table.available("modelo").size(), 1U);
    EXPECT_EQ(table.available("modelo").front()->id, "three");
    EXPECT_NE(table.find("one"), nullptr);
}

// Guards against a service without upstreams when all registrations vanish at once while the registry seems available. The
// upstreams keep serving and register again within two seconds.
TEST(UpstreamTableTest, vanishedUpstreamsServeIfThereIsNoOther)
{
    UpstreamTable table;
    table.put(upstream("one"));
    table.put(upstream("two"));
    table.replaceAll({}, start);
    EXPECT_EQ(table.available("modelo").size(), 2U);
    table.put(upstream("two"));
    EXPECT_EQ(table.available("modelo").size(), 1U);
    table.remove("two", start);
    table.expire(start + UpstreamTable::lastResortGrace + absl::Milliseconds(1));
    EXPECT_TRUE(table.available("modelo").empty());
}

// Guards against a service without upstreams because their registrations expired during an outage of the registry.
TEST(UpstreamTableTest, registrationsLapsedInAnOutageStayDuringTheGracePeriod)
{
    UpstreamTable table;
    table.put(upstream("one"));
    table.put(upstream("two"));
    table.registryLost(start);
    table.registryRegained(start + absl::Seconds(5));
    table.replaceAll({}, start + absl::Seconds(5));
    EXPECT_EQ(table.available("modelo").size(), 2U);
    table.put(upstream("two"));
    table.expire(start + absl::Seconds(5) + UpstreamTable::reregistrationGrace + absl::Milliseconds(1));
    ASSERT_EQ(table.available("modelo").size(), 1U);
    EXPECT_EQ(table.available("modelo").front()->id, "two");
}

// Guards against an upstream that stays in use after a planned departure, because of an outage long before it.
TEST(UpstreamTableTest, removalTakesEffectAtOnceAfterTheGracePeriod)
{
    UpstreamTable table;
    table.put(upstream("one"));
    table.registryLost(start);
    table.registryRegained(start);
    table.put(upstream("two"));
    table.remove("one", start + UpstreamTable::reregistrationGrace + absl::Milliseconds(1));
    ASSERT_EQ(table.available("modelo").size(), 1U);
    EXPECT_EQ(table.available("modelo").front()->id, "two");
}

} // namespace

} // namespace Bergamotramp
