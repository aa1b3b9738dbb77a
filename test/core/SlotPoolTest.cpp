#include "SlotPool.h"

#include <gtest/gtest.h>

namespace Bergamotramp {

namespace {

/** A pool with two upstreams of one slot each, unless a test configures others. */
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

    PoolRequest makeRequest(std::uint64_t number, wire::WorkClass workClass, std::uint64_t fingerprint = 0) const
    {
        PoolRequest request;
        request.id = {"h", number};
        request.workClass = workClass;
        request.organisation = "acme";
        request.grantDeadline = this->now + absl::Minutes(10);
        request.fingerprint = fingerprint;
        return request;
    }

    SlotActions online(std::uint64_t number, std::uint64_t fingerprint = 0)
    {
        return this->pool.request(this->makeRequest(number, wire::WORK_CLASS_ONLINE, fingerprint), this->now);
    }

    SlotActions batch(std::uint64_t number, std::uint64_t fingerprint = 0)
    {
        return this->pool.request(this->makeRequest(number, wire::WORK_CLASS_BATCH, fingerprint), this->now);
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

// Guards against preemption that discards more finished work than needed.
TEST_F(SlotPoolTest, revokesTheBatchGrantWithFewestTokens)
{
    batch(1);
    batch(2);
    pool.updateHeldSlots("h", {{1, "a", wire::WORK_CLASS_BATCH, 0, "acme", 500}, {2, "b", wire::WORK_CLASS_BATCH, 0, "acme", 20}}, now);
    EXPECT_EQ(online(3), (SlotActions{SlotRevoked{{"h", 2}}}));
    EXPECT_EQ(release(2, wire::SLOT_RESULT_CANCELLED), granted(3, "b"));
}

// Guards against an online request that waits until its deadline because the revocation message was lost.
TEST_F(SlotPoolTest, repeatsLostRevocation)
{
    batch(1);
    batch(2);
    const SlotActions first = online(3);
    now += absl::Milliseconds(300);
    EXPECT_EQ(pool.tick(now), first);
}

// Guards against batch work that occupies the slots that the next online requests need.
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

// Guards against a slot that is freed twice because a release arrives again after the slot was granted to another
// request.
TEST_F(SlotPoolTest, repeatedReleaseFreesNoOtherGrant)
{
    online(1);
    online(2);
    online(3);
    online(4);
    EXPECT_EQ(release(1), granted(3, "a"));
    EXPECT_EQ(release(1), SlotActions());
}

// Guards against a late report that marks a slot as held again after its release.
TEST_F(SlotPoolTest, lateReportDoesNotRestoreEndedGrant)
{
    online(1);
    release(1);
    pool.updateHeldSlots("h", {{1, "a", wire::WORK_CLASS_ONLINE, 0, "acme", 1}}, now);
    EXPECT_EQ(pool.status(now).onlineInFlight, 0U);
}

TEST_F(SlotPoolTest, lostHostFreesItsSlots)
{
    PoolRequest other = makeRequest(1, wire::WORK_CLASS_ONLINE);
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
        pool.updateHeldSlots("h", {{2, "b", wire::WORK_CLASS_ONLINE, 0, "acme", 1}}, now);
        const SlotActions actions = pool.tick(now);
        EXPECT_EQ(actions, second < 5 ? SlotActions() : granted(3, "a")) << second;
    }
}

// Guards against a holder that frees all slots after its process was paused for longer than the lease.
TEST_F(SlotPoolTest, pausedHolderFreesNoGrants)
{
    online(1);
    pool.tick(now);
    now += absl::Seconds(30);
    pool.tick(now);
    EXPECT_EQ(pool.status(now).onlineInFlight, 1U);
}

// Guards against a new holder that grants slots which other hosts already hold.
TEST_F(SlotPoolTest, reportedSlotsAreNotGrantedAgain)
{
    pool.updateHeldSlots("other", {{7, "a", wire::WORK_CLASS_ONLINE, 0, "acme", 1}, {8, "b", wire::WORK_CLASS_ONLINE, 0, "acme", 1}}, now);
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
    PoolRequest late = makeRequest(3, wire::WORK_CLASS_ONLINE);
    late.grantDeadline = now + absl::Milliseconds(100);
    EXPECT_EQ(pool.request(late, now), SlotActions());
    now += absl::Milliseconds(100);
    EXPECT_EQ(pool.tick(now), denied(3, SlotDenialCode::deadline, absl::Milliseconds(100)));
}

// Guards against slots that are granted, under overload, to requests whose answers can no longer be complete in time.
TEST_F(SlotPoolTest, slotGoesToRequestThatCanStillFinish)
{
    for (std::uint64_t number = 100; number < 120; ++number) {
        online(number);
        now += absl::Seconds(1);
        release(number);
    }
    online(1);
    online(2);
    PoolRequest early = makeRequest(3, wire::WORK_CLASS_ONLINE);
    early.completionDeadline = now + absl::Milliseconds(1900);
    PoolRequest unfinishable = makeRequest(4, wire::WORK_CLASS_ONLINE);
    unfinishable.completionDeadline = now + absl::Milliseconds(1400);
    PoolRequest relaxed = makeRequest(5, wire::WORK_CLASS_ONLINE);
    EXPECT_TRUE(pool.request(early, now).empty());
    // The expected wait of 1 s for the second slot that becomes free, plus the usual 1 s of service, ends after 1.4 s.
    EXPECT_EQ(pool.request(unfinishable, now), denied(4, SlotDenialCode::deadline, absl::Seconds(1)));
    EXPECT_TRUE(pool.request(relaxed, now).empty());
    now += absl::Seconds(1);
    EXPECT_EQ(release(1), (SlotActions{SlotDenied{{"h", 3}, SlotDenialCode::deadline, absl::Milliseconds(100)}, SlotGranted{{"h", 5}, "a", "127.0.0.1:1"}}));
}

// Guards against requests that wait until their deadline although the queue already shows that they will not get a slot
// before it.
TEST_F(SlotPoolTest, unreachableDeadlineIsDeniedAtOnce)
{
    for (std::uint64_t number = 100; number < 130; ++number) {
        online(number);
        now += absl::Seconds(2);
        release(number);
    }
    online(1);
    online(2);
    PoolRequest unfinishable = makeRequest(3, wire::WORK_CLASS_ONLINE);
    unfinishable.grantDeadline = now + absl::Milliseconds(500);
    EXPECT_EQ(pool.request(unfinishable, now), denied(3, SlotDenialCode::deadline, absl::Seconds(1)));
}

// Guards against one organisation that fills the queue, so that others have to wait for all of its requests.
TEST_F(SlotPoolTest, organisationsTakeTurnsUnderOverload)
{
    online(1);
    online(2);
    for (std::uint64_t number = 3; number < 20; ++number) {
        online(number);
    }
    PoolRequest other = makeRequest(50, wire::WORK_CLASS_ONLINE);
    other.organisation = "modest";
    pool.request(other, now);
    // The other organisation has received no service yet.
    EXPECT_EQ(release(1), granted(50, "a"));
    EXPECT_EQ(release(2), granted(3, "b"));
}

// Guards against urgent jobs that wait behind jobs with hours left.
TEST_F(SlotPoolTest, batchWithLeastLaxityComesFirst)
{
    online(1);
    online(2);
    PoolRequest relaxed = makeRequest(3, wire::WORK_CLASS_BATCH);
    relaxed.completionDeadline = now + absl::Hours(20);
    PoolRequest urgent = makeRequest(4, wire::WORK_CLASS_BATCH);
    urgent.completionDeadline = now + absl::Minutes(5);
    urgent.organisation = "other";
    pool.request(relaxed, now);
    pool.request(urgent, now);
    EXPECT_EQ(release(1), granted(4, "a"));
}

// Guards against long streams that occupy every slot and block short requests.
TEST_F(SlotPoolTest, longStreamsLeaveSlotsForShortRequests)
{
    for (std::uint64_t number = 1; number <= 2; ++number) {
        PoolRequest longRequest = makeRequest(number, wire::WORK_CLASS_ONLINE);
        longRequest.expectedTokens = 8000;
        EXPECT_EQ(pool.request(longRequest, now), number == 1 ? granted(1, "a") : SlotActions());
    }
    EXPECT_EQ(online(3), granted(3, "b"));
    // The slot that the first long stream releases goes to the second one.
    EXPECT_EQ(release(1), granted(2, "a"));
}

// Guards against a request that crashes a fourth upstream, and against requests that are denied only because they ran
// beside it.
TEST_F(SlotPoolTest, crashingRequestIsIsolatedAndThenQuarantined)
{
    configure({{"a", "127.0.0.1:1", 2, false}, {"b", "127.0.0.1:2", 2, false}});
    online(1, 66);
    online(2);
    online(3, 5);
    EXPECT_EQ(release(1, wire::SLOT_RESULT_UPSTREAM_DIED), (SlotActions{SuspectChanged{5, 1, {{"a", 1}}}, SuspectChanged{66, 1, {{"a", 1}}}}));
    // Request 3 ran on the same upstream and reports the same crash, which must not count twice.
    EXPECT_EQ(release(3, wire::SLOT_RESULT_UPSTREAM_DIED), SlotActions());
    EXPECT_EQ(online(4, 66), SlotActions()) << "a suspect must not share an upstream";
    EXPECT_EQ(online(5, 5), SlotActions());
    EXPECT_EQ(release(2), SlotActions()) << "a suspect must not run at once on an upstream that may crash for the same cause as the first one";
    now += CrashQuarantine::suspectRetryDelay;
    EXPECT_EQ(pool.tick(now), granted(4, "b"));
    // With both upstreams crashed, the other suspect runs alone as the probe that shows whether one is back.
    EXPECT_EQ(release(4, wire::SLOT_RESULT_UPSTREAM_DIED),
              (SlotActions{SuspectChanged{66, 2, {{"a", 1}, {"b", 1}}}, SlotGranted{{"h", 5}, "a", "127.0.0.1:1"}}));
    EXPECT_EQ(release(5), (SlotActions{SuspectChanged{5, 0}}));
    EXPECT_EQ(online(6, 66), SlotActions()) << "a second crash delays the suspect for longer";
    now += CrashQuarantine::suspectRetryDelay;
    EXPECT_EQ(pool.tick(now), SlotActions());
    now += CrashQuarantine::repeatedSuspectRetryDelay;
    EXPECT_EQ(pool.tick(now), granted(6, "a"));
    EXPECT_EQ(release(6, wire::SLOT_RESULT_UPSTREAM_DIED), (SlotActions{SuspectChanged{66, 3, {{"a", 2}, {"b", 1}}}}));
    EXPECT_EQ(online(7, 66), denied(7, SlotDenialCode::quarantined));
}

// Guards against an item of a batch job that is refused, or that waits for ever, because upstreams crashed several times while it ran: it
// is still owed. An online request with the same content stays quarantined.
TEST_F(SlotPoolTest, batchItemCompletesAfterABurstOfCrashes)
{
    std::uint64_t number = 1;
    for (std::uint32_t crash = 1; crash <= 3 * CrashQuarantine::crashesToQuarantine; ++crash) {
        SlotActions actions = batch(number, 66);
        now += CrashQuarantine::repeatedSuspectRetryDelay;
        const SlotActions later = pool.tick(now);
        actions.insert(actions.end(), later.begin(), later.end());
        ASSERT_EQ(actions.size(), 1U) << "after " << crash - 1 << " crashes";
        ASSERT_TRUE(std::holds_alternative<SlotGranted>(actions.front())) << "after " << crash - 1 << " crashes";
        release(number, wire::SLOT_RESULT_UPSTREAM_DIED);
        ++number;
    }
    EXPECT_EQ(online(100, 66), denied(100, SlotDenialCode::quarantined));
    EXPECT_EQ(batch(101, 66), SlotActions()) << "no sooner than the delay after a crash";
    EXPECT_EQ(batch(102, 66), SlotActions());
    now += CrashQuarantine::repeatedSuspectRetryDelay;
    ASSERT_EQ(pool.tick(now).size(), 1U) << "two copies must not run at once";
    EXPECT_EQ(pool.status(now).batchInFlight, 1U);
    release(101);
    EXPECT_EQ(pool.status(now).batchInFlight, 1U) << "no further delay after a completed run";
    release(102);
    EXPECT_EQ(pool.status(now).suspectsQueued + pool.status(now).batchQueued, 0U);
}

// Guards against a crash that counts twice because another host, whose copy ran on the same upstream, announces it before the holder learns
// of it, and against batch copies that keep running beside other requests after such an announcement.
TEST_F(SlotPoolTest, announcedCrashIsNotCountedAgain)
{
    configure({{"a", "127.0.0.1:1", 2, false}, {"b", "127.0.0.1:2", 2, false}});
    EXPECT_EQ(online(1, 66), granted(1, "a"));
    EXPECT_EQ(batch(2, 66), granted(2, "b"));
    now += absl::Milliseconds(20);
    EXPECT_EQ(pool.mergeCrashCount({66, 1, {{"a", 1}}}, now), (SlotActions{SlotRevoked{{"h", 2}}}));
    now += absl::Milliseconds(20);
    EXPECT_EQ(release(1, wire::SLOT_RESULT_UPSTREAM_DIED), SlotActions());
    EXPECT_EQ(pool.suspects().count(66), (CrashCount{66, 1, {{"a", 1}}}));
}

// Guards against a waiting batch item that is denied when the count of its crashes, counted by other hosts, reaches the quarantine.
TEST_F(SlotPoolTest, waitingBatchItemIsNotDeniedByAnAnnouncedQuarantine)
{
    online(1);
    online(2);
    batch(3, 66);
    online(4, 66);
    EXPECT_EQ(pool.mergeCrashCount({66, CrashQuarantine::crashesToQuarantine}, now), denied(4, SlotDenialCode::quarantined));
    now += CrashQuarantine::repeatedSuspectRetryDelay;
    EXPECT_EQ(release(1), granted(3, "a"));
}

// Guards against suspects that are never run after all upstreams crashed, because no other request probes the
// upstreams.
TEST_F(SlotPoolTest, suspectProbesWhenAllUpstreamsCrashed)
{
    online(1, 5);
    online(2, 6);
    release(1, wire::SLOT_RESULT_UPSTREAM_DIED);
    release(2, wire::SLOT_RESULT_UPSTREAM_DIED);
    EXPECT_EQ(online(3, 5), SlotActions());
    now += CrashQuarantine::suspectRetryDelay;
    EXPECT_EQ(pool.tick(now), granted(3, "a"));
    EXPECT_EQ(release(3), (SlotActions{SuspectChanged{5, 0}}));
}

TEST_F(SlotPoolTest, suspectThatCompletesAloneIsCleared)
{
    pool.mergeCrashCount({66, 1}, now);
    now += CrashQuarantine::suspectRetryDelay;
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

// Guards against an online request that waits behind running batch copies of itself.
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
