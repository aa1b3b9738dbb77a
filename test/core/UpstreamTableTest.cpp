#include "UpstreamTable.h"

#include <gtest/gtest.h>

namespace Bergamotramp {

namespace {

const absl::Time start = absl::FromUnixSeconds(1'000'000);

UpstreamInfo upstream(const std::string &id, std::int64_t startedAtMs = 0)
{
    return {.id = id, .service = "modelo", .address = "10.0.0.1:80", .dataCentre = "recife-a", .slots = 8, .leaving = false, .startedAtMs = startedAtMs};
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

// Guards against a registration with "ready" that undoes an upstream's own statement, whether it is written again, listed again, or
// vanishes and returns.
TEST(UpstreamTableTest, readyRegistrationDoesNotUndoAStatement)
{
    UpstreamTable table;
    table.put(upstream("one", 100));
    EXPECT_TRUE(table.recordStatedLeaving({.id = "one", .startedAtMs = 100}));
    EXPECT_FALSE(table.recordStatedLeaving({.id = "one", .startedAtMs = 100}));
    EXPECT_TRUE(table.available("modelo").empty());
    table.put(upstream("one", 100));
    EXPECT_TRUE(table.available("modelo").empty());
    table.replaceAll({}, start);
    EXPECT_TRUE(table.available("modelo").empty());
    table.expire(start + absl::Minutes(1));
    table.replaceAll({upstream("one", 100)}, start + absl::Minutes(1));
    EXPECT_TRUE(table.available("modelo").empty());
}

// Guards against a restarted upstream that is kept out because of its former run, also when its clock was set back, and against a
// late registration of the former run that brings that run back.
TEST(UpstreamTableTest, statementHoldsForOneStart)
{
    for (const std::int64_t nextStart : {50, 200}) {
        UpstreamTable table;
        table.put(upstream("one", 100));
        table.recordStatedLeaving({.id = "one", .startedAtMs = 100});
        table.put(upstream("one", nextStart));
        EXPECT_EQ(table.available("modelo").size(), 1U);
        table.recordStatedLeaving({.id = "one", .startedAtMs = nextStart});
        EXPECT_TRUE(table.available("modelo").empty());
        table.put(upstream("one", 100));
        EXPECT_TRUE(table.available("modelo").empty());
    }
}

// Guards against a late answer of a former run that takes the present one out, and against a statement that is lost because the
// registration of its run arrives later.
TEST(UpstreamTableTest, statementOfARunThatIsNotRegistered)
{
    UpstreamTable table;
    table.put(upstream("one", 200));
    table.recordStatedLeaving({.id = "one", .startedAtMs = 100});
    table.recordStatedLeaving({.id = "two", .startedAtMs = 100});
    ASSERT_EQ(table.available("modelo").size(), 1U);
    table.put(upstream("two", 100));
    EXPECT_EQ(table.available("modelo").size(), 1U);
}

// Guards against registrations without a start that undo a statement, and against an upstream without a start that stays out for
// ever once one of its runs has left.
TEST(UpstreamTableTest, statementWithoutAStartHoldsUntilTheRegistrationIsRemoved)
{
    UpstreamTable table;
    table.put(upstream("one"));
    EXPECT_TRUE(table.recordStatedLeaving({.id = "one"}));
    table.put(upstream("one"));
    table.replaceAll({upstream("one")}, start);
    EXPECT_TRUE(table.available("modelo").empty());
    table.registryLost(start);
    table.replaceAll({}, start);
    table.put(upstream("one"));
    EXPECT_TRUE(table.available("modelo").empty()) << "a registration that lapses in an outage says nothing about the upstream";
    table.registryRegained(start);
    table.remove("one", start + UpstreamTable::reregistrationGrace);
    EXPECT_TRUE(table.available("modelo").empty());
    table.put(upstream("one"));
    EXPECT_EQ(table.available("modelo").size(), 1U);
}

// Guards against a registration that leaves out its start and thereby undoes the statement of the same run.
TEST(UpstreamTableTest, missingStartDoesNotShowAnotherRun)
{
    UpstreamTable table;
    table.put(upstream("one", 100));
    table.recordStatedLeaving({.id = "one", .startedAtMs = 100});
    table.put(upstream("one"));
    EXPECT_TRUE(table.available("modelo").empty());
    table.put(upstream("one", 200));
    EXPECT_EQ(table.available("modelo").size(), 1U);
}

// Guards against memory that grows with the upstreams that have left, and against the loss of the newest statements.
TEST(LeavingRunsTest, keepsTheNewestRuns)
{
    LeavingRuns runs;
    const auto count = static_cast<std::int64_t>(LeavingRuns::maxRuns);
    for (std::int64_t number = 1; number <= count + 1; ++number) {
        EXPECT_TRUE(runs.add({.id = "one", .startedAtMs = number}));
    }
    EXPECT_FALSE(runs.contains({.id = "one", .startedAtMs = 1}));
    EXPECT_TRUE(runs.contains({.id = "one", .startedAtMs = 2}));
    EXPECT_FALSE(runs.add({.id = "one", .startedAtMs = count + 1}));
}

} // namespace

} // namespace Bergamotramp
