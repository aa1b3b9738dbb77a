#include "SlotPool.h"

#include <gtest/gtest.h>

namespace Bergamotramp {

namespace {

/** A pool with two upstreams of one slot each unless a test configures others. */
class SlotPoolTest : public testing::Test
{
protected:
    SlotPoolTest() : pool(spec())
    {
        this->configure({{"a", "127.0.0.1:1", 1, false}, {"b", "127.0.0.1:2", 1, false}});
    }

    static ServiceSpec spec()
    {
        ServiceSpec spec;
        spec.name = "modelo";
        spec.online.reserveShare = 0.0;
        return spec;
    }

    SlotActions configure(const std::vector<PoolUpstream> &upstreams)
    {
        return this->pool.configure(spec(), upstreams, this->now);
    }

    PoolRequest demand(std::uint64_t number, wire::WorkClass workClass, std::uint64_t fingerprint = 0) const
    {
        PoolRequest request;
        request.id = {"h", number};
        request.workClass = workClass;
        request.organisation = "acme";
        request.deadline = this->now + absl::Minutes(10);
        request.fingerprint = fingerprint;
        return request;
    }

    SlotActions online(std::uint64_t number, std::uint64_t fingerprint = 0)
    {
        return this->pool.request(this->demand(number, wire::WORK_CLASS_ONLINE, fingerprint), this->now);
    }

    SlotActions batch(std::uint64_t number, std::uint64_t fingerprint = 0)
    {
        return this->pool.request(this->demand(number, wire::WORK_CLASS_BATCH, fingerprint), this->now);
    }

    SlotActions release(std::uint64_t number, wire::SlotResult result = wire::SLOT_RESULT_COMPLETED)
    {
        GrantOutcome outcome;
        outcome.result = result;
        return this->pool.release({"h", number}, outcome, this->now);
    }

    static SlotActions granted(std::uint64_t number, const std::string &upstream)
    {
        return {SlotGranted{{"h", number}, upstream, upstream == "a" ? "127.0.0.1:1" : "127.0.0.1:2"}};
    }

    static SlotActions denied(std::uint64_t number, const std::string &code, absl::Duration retryAfter = absl::ZeroDuration())
    {
        return {SlotDenied{{"h", number}, code, retryAfter}};
    }

    SlotPool pool;
    absl::Time now = absl::FromUnixSeconds(1'000'000);
};

// Guards against preemption that throws away more work than needed.
TEST_F(SlotPoolTest, revokesTheBatchGrantThatLosesLeast)
{
    batch(1);
    batch(2);
    pool.adopt("h", {{1, "a", wire::WORK_CLASS_BATCH, 0, "acme", 500}, {2, "b", wire::WORK_CLASS_BATCH, 0, "acme", 20}}, now);
    EXPECT_EQ(online(3), (SlotActions{SlotRevoked{{"h", 2}}}));
    EXPECT_EQ(release(2, wire::SLOT_RESULT_CANCELLED), granted(3, "b"));
}

// Guards against an online request that waits for ever because the revocation was lost.
TEST_F(SlotPoolTest, repeatsLostRevocation)
{
    batch(1);
    batch(2);
    const SlotActions first = online(3);
    now += absl::Milliseconds(300);
    EXPECT_EQ(pool.tick(now), first);
}

// Guards against batch work that takes the slots that the next online requests need.
TEST_F(SlotPoolTest, batchLeavesTheReserveFree)
{
    ServiceSpec half = spec();
    half.online.reserveShare = 0.5;
    pool.configure(half, {{"a", "127.0.0.1:1", 4, false}}, now);
    batch(1);
    batch(2);
    EXPECT_EQ(batch(3), SlotActions());
    EXPECT_EQ(online(4), granted(4, "a"));
}

TEST_F(SlotPoolTest, repeatedRequestGetsTheSameGrant)
{
    EXPECT_EQ(online(1), granted(1, "a"));
    EXPECT_EQ(online(1), granted(1, "a"));
    release(1);
    EXPECT_EQ(online(1), SlotActions());
}

// Guards against a slot that is freed twice when a release is repeated after the slot was given away.
TEST_F(SlotPoolTest, repeatedReleaseFreesNothing)
{
    online(1);
    online(2);
    online(3);
    online(4);
    EXPECT_EQ(release(1), granted(3, "a"));
    EXPECT_EQ(release(1), SlotActions());
}

// Guards against a late report that brings back a slot whose release came first.
TEST_F(SlotPoolTest, lateReportDoesNotReviveEndedGrant)
{
    online(1);
    release(1);
    pool.adopt("h", {{1, "a", wire::WORK_CLASS_ONLINE, 0, "acme", 1}}, now);
    EXPECT_EQ(pool.status(now).onlineInFlight, 0U);
}

TEST_F(SlotPoolTest, lostHostFreesItsSlots)
{
    PoolRequest other = demand(1, wire::WORK_CLASS_ONLINE);
    other.id.host = "lost";
    pool.request(other, now);
    online(2);
    online(3);
    EXPECT_EQ(pool.removeHost("lost", now), granted(3, "a"));
}

TEST_F(SlotPoolTest, unreportedGrantIsFreedAfterItsLease)
{
    online(1);
    online(2);
    online(3);
    for (int second = 0; second < 6; ++second) {
        now += absl::Seconds(1);
        pool.adopt("h", {{2, "b", wire::WORK_CLASS_ONLINE, 0, "acme", 1}}, now);
        const SlotActions actions = pool.tick(now);
        EXPECT_EQ(actions, second < 5 ? SlotActions() : granted(3, "a")) << second;
    }
}

// Guards against a holder that frees all slots because it was paused longer than the lease.
TEST_F(SlotPoolTest, pauseOfTheHolderFreesNothing)
{
    online(1);
    pool.tick(now);
    now += absl::Seconds(30);
    pool.tick(now);
    EXPECT_EQ(pool.status(now).onlineInFlight, 1U);
}

// Guards against a new holder that grants slots which others hold already.
TEST_F(SlotPoolTest, adoptedSlotsCount)
{
    pool.adopt("other", {{7, "a", wire::WORK_CLASS_ONLINE, 0, "acme", 1}, {8, "b", wire::WORK_CLASS_ONLINE, 0, "acme", 1}}, now);
    EXPECT_EQ(online(1), SlotActions());
    EXPECT_EQ(pool.release({"other", 8}, {}, now), granted(1, "b"));
}

TEST_F(SlotPoolTest, leavingUpstreamGetsNoNewWork)
{
    configure({{"a", "127.0.0.1:1", 1, true}, {"b", "127.0.0.1:2", 1, false}});
    EXPECT_EQ(online(1), granted(1, "b"));
    EXPECT_EQ(online(2), SlotActions());
    EXPECT_EQ(configure({{"a", "127.0.0.1:1", 1, true}, {"b", "127.0.0.1:2", 1, true}}), denied(2, SlotDenialCode::noUpstream, absl::Seconds(1)));
}

TEST_F(SlotPoolTest, expiredRequestIsDenied)
{
    online(1);
    online(2);
    PoolRequest late = demand(3, wire::WORK_CLASS_ONLINE);
    late.deadline = now + absl::Milliseconds(100);
    EXPECT_EQ(pool.request(late, now), SlotActions());
    now += absl::Milliseconds(100);
    EXPECT_EQ(pool.tick(now), denied(3, SlotDenialCode::deadline, absl::Milliseconds(100)));
}

// Guards against slots that go, under overload, to requests whose answers can't be complete in time.
TEST_F(SlotPoolTest, slotGoesToRequestThatCanStillFinish)
{
    for (std::uint64_t number = 100; number < 120; ++number) {
        online(number);
        now += absl::Seconds(1);
        release(number);
    }
    online(1);
    online(2);
    PoolRequest early = demand(3, wire::WORK_CLASS_ONLINE);
    early.due = now + absl::Milliseconds(1900);
    PoolRequest hopeless = demand(4, wire::WORK_CLASS_ONLINE);
    hopeless.due = now + absl::Milliseconds(1400);
    PoolRequest patient = demand(5, wire::WORK_CLASS_ONLINE);
    EXPECT_TRUE(pool.request(early, now).empty());
    // The wait of 1 s for the second free slot and the usual second in service end after 1.4 s.
    EXPECT_EQ(pool.request(hopeless, now), denied(4, SlotDenialCode::deadline, absl::Seconds(1)));
    EXPECT_TRUE(pool.request(patient, now).empty());
    now += absl::Seconds(1);
    EXPECT_EQ(release(1), (SlotActions{SlotDenied{{"h", 3}, SlotDenialCode::deadline, absl::Milliseconds(100)}, SlotGranted{{"h", 5}, "a", "127.0.0.1:1"}}));
}

// Guards against requests that wait until their deadline although the queue shows that they can't meet it.
TEST_F(SlotPoolTest, hopelessDeadlineIsDeniedAtOnce)
{
    for (std::uint64_t number = 100; number < 130; ++number) {
        online(number);
        now += absl::Seconds(2);
        release(number);
    }
    online(1);
    online(2);
    PoolRequest hopeless = demand(3, wire::WORK_CLASS_ONLINE);
    hopeless.deadline = now + absl::Milliseconds(500);
    EXPECT_EQ(pool.request(hopeless, now), denied(3, SlotDenialCode::deadline, absl::Seconds(1)));
}

// Guards against one organisation that fills the queue and makes the others wait for all of its requests.
TEST_F(SlotPoolTest, organisationsTakeTurnsUnderOverload)
{
    online(1);
    online(2);
    for (std::uint64_t number = 3; number < 20; ++number) {
        online(number);
    }
    PoolRequest other = demand(50, wire::WORK_CLASS_ONLINE);
    other.organisation = "modest";
    pool.request(other, now);
    // The other organisation has received nothing yet.
    EXPECT_EQ(release(1), granted(50, "a"));
    EXPECT_EQ(release(2), granted(3, "b"));
}

// Guards against urgent jobs that wait behind jobs with hours left.
TEST_F(SlotPoolTest, batchWithLeastLaxityComesFirst)
{
    online(1);
    online(2);
    PoolRequest relaxed = demand(3, wire::WORK_CLASS_BATCH);
    relaxed.due = now + absl::Hours(20);
    PoolRequest urgent = demand(4, wire::WORK_CLASS_BATCH);
    urgent.due = now + absl::Minutes(5);
    urgent.organisation = "other";
    pool.request(relaxed, now);
    pool.request(urgent, now);
    EXPECT_EQ(release(1), granted(4, "a"));
}

// Guards against stragglers that occupy every slot and block short requests.
TEST_F(SlotPoolTest, longStreamsLeaveSlotsForShortRequests)
{
    for (std::uint64_t number = 1; number <= 2; ++number) {
        PoolRequest straggler = demand(number, wire::WORK_CLASS_ONLINE);
        straggler.expectedTokens = 8000;
        EXPECT_EQ(pool.request(straggler, now), number == 1 ? granted(1, "a") : SlotActions());
    }
    EXPECT_EQ(online(3), granted(3, "b"));
    // The slot that the first long stream leaves goes to the second one.
    EXPECT_EQ(release(1), granted(2, "a"));
}

// Guards against a request that takes down a fourth upstream, and against neighbours that are refused with it.
TEST_F(SlotPoolTest, crashingRequestIsIsolatedAndThenRefused)
{
    configure({{"a", "127.0.0.1:1", 2, false}, {"b", "127.0.0.1:2", 2, false}});
    online(1, 66);
    online(2);
    online(3, 5);
    EXPECT_EQ(release(1, wire::SLOT_RESULT_UPSTREAM_DIED), (SlotActions{SuspectChanged{5, 1}, SuspectChanged{66, 1}}));
    // The neighbour saw the same crash, which must not count twice.
    EXPECT_EQ(release(3, wire::SLOT_RESULT_UPSTREAM_DIED), SlotActions());
    EXPECT_EQ(online(4, 66), SlotActions()) << "a suspect must not share an upstream";
    EXPECT_EQ(online(5, 5), SlotActions());
    EXPECT_EQ(release(2), SlotActions()) << "a suspect must not meet an upstream that dies with the first one";
    now += CrashSuspects::suspectPause;
    EXPECT_EQ(pool.tick(now), granted(4, "b"));
    // With both upstreams dead, the neighbour finds out alone whether one is back.
    EXPECT_EQ(release(4, wire::SLOT_RESULT_UPSTREAM_DIED), (SlotActions{SuspectChanged{66, 2}, SlotGranted{{"h", 5}, "a", "127.0.0.1:1"}}));
    EXPECT_EQ(release(5), (SlotActions{SuspectChanged{5, 0}}));
    EXPECT_EQ(online(6, 66), SlotActions()) << "a second crash pauses the suspect for longer";
    now += CrashSuspects::suspectPause;
    EXPECT_EQ(pool.tick(now), SlotActions());
    now += CrashSuspects::repeatedSuspectPause;
    EXPECT_EQ(pool.tick(now), granted(6, "a"));
    EXPECT_EQ(release(6, wire::SLOT_RESULT_UPSTREAM_DIED), (SlotActions{SuspectChanged{66, 3}}));
    EXPECT_EQ(online(7, 66), denied(7, SlotDenialCode::quarantined));
}

// Guards against suspects that wait for ever when all upstreams died and no other request probes them.
TEST_F(SlotPoolTest, suspectProbesWhenAllUpstreamsDied)
{
    online(1, 5);
    online(2, 6);
    release(1, wire::SLOT_RESULT_UPSTREAM_DIED);
    release(2, wire::SLOT_RESULT_UPSTREAM_DIED);
    EXPECT_EQ(online(3, 5), SlotActions());
    now += CrashSuspects::suspectPause;
    EXPECT_EQ(pool.tick(now), granted(3, "a"));
    EXPECT_EQ(release(3), (SlotActions{SuspectChanged{5, 0}}));
}

TEST_F(SlotPoolTest, suspectThatCompletesAloneIsCleared)
{
    pool.suspectNotice(66, 1, now);
    now += CrashSuspects::suspectPause;
    EXPECT_EQ(online(1, 66), granted(1, "a"));
    EXPECT_EQ(online(2, 66), SlotActions());
    EXPECT_EQ(release(1), (SlotActions{SuspectChanged{66, 0}, SlotGranted{{"h", 2}, "a", "127.0.0.1:1"}}));
}

TEST_F(SlotPoolTest, atMostTwoCopiesRunAtOnce)
{
    configure({{"a", "127.0.0.1:1", 4, false}});
    online(1, 9);
    online(2, 9);
    EXPECT_EQ(online(3, 9), SlotActions());
    EXPECT_EQ(online(4), granted(4, "a"));
    EXPECT_EQ(release(1), granted(3, "a"));
}

// Guards against an online request that waits behind batch copies of itself.
TEST_F(SlotPoolTest, onlineCopyRevokesBatchCopies)
{
    configure({{"a", "127.0.0.1:1", 8, false}});
    batch(1, 9);
    batch(2, 9);
    const SlotActions actions = online(3, 9);
    ASSERT_FALSE(actions.empty());
    EXPECT_TRUE(std::holds_alternative<SlotRevoked>(actions.front()));
    EXPECT_EQ(release(std::get<SlotRevoked>(actions.front()).id.number, wire::SLOT_RESULT_CANCELLED), granted(3, "a"));
}

} // namespace

} // namespace Bergamotramp
