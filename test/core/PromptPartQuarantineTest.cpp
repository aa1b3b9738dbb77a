#include "PromptPartQuarantine.h"

#include <gtest/gtest.h>

namespace Bergamotramp {

namespace {

using Quarantine = PromptPartQuarantine;

const absl::Time start = absl::FromUnixSeconds(1'000'000);
constexpr std::uint64_t part = 0x91bd3f06;
constexpr std::uint64_t sharedPart = 0x5c1e07a2;

absl::Duration atOnce(std::uint64_t)
{
    return absl::ZeroDuration();
}

/** A crash of the start @p number of an upstream, to which the request was sent 20 ms before. */
PartCrash crashAt(absl::Time lost, std::uint64_t number)
{
    return {.lost = lost, .sent = lost - absl::Milliseconds(20), .upstreamStart = number};
}

/** Records @p count crashes, one a second from @p from on. Returns the time of the last one. */
absl::Time crashRepeatedly(Quarantine &quarantine, std::uint64_t crashingPart, std::size_t count, absl::Time from = start)
{
    absl::Time now = from;
    for (std::size_t number = 0; number < count; ++number) {
        now = from + absl::Seconds(static_cast<std::int64_t>(number));
        quarantine.recordCrash(crashingPart, crashAt(now, static_cast<std::uint64_t>(absl::ToUnixMillis(now))), now);
    }
    return now;
}

PartVerdict verdict(Quarantine &quarantine, const std::vector<std::uint64_t> &parts, absl::Time now)
{
    return quarantine.admit(parts, true, atOnce, now).verdict;
}

// Guards against requests that are sent on after three crashes, and a refusal that invites its caller back before the next trial.
TEST(PromptPartQuarantineTest, repeatedCrashesQuarantineAPart)
{
    Quarantine quarantine;
    const absl::Time before = crashRepeatedly(quarantine, part, Quarantine::crashesToQuarantine - 1);
    EXPECT_EQ(verdict(quarantine, {part}, before), PartVerdict::Admitted);
    const absl::Time now = before + absl::Seconds(1);
    EXPECT_EQ(quarantine.recordCrash(part, crashAt(now, 1), now), PartChange::Quarantined);
    const PartAdmission refusal = quarantine.admit({sharedPart, part}, true, atOnce, now);
    EXPECT_EQ(refusal.verdict, PartVerdict::Refused);
    EXPECT_EQ(refusal.quarantined, std::vector<std::uint64_t>{part});
    EXPECT_EQ(refusal.retryAfter, absl::Seconds(10));
    EXPECT_EQ(verdict(quarantine, {sharedPart}, now), PartVerdict::Admitted);
}

// Guards against a rack or a network that fails within a moment and quarantines the parts that all requests share.
TEST(PromptPartQuarantineTest, failuresAtOneMomentAreOneCrash)
{
    Quarantine quarantine;
    for (std::uint64_t upstream = 1; upstream <= Quarantine::maxCrashesPerPart; ++upstream) {
        const absl::Time lost = start + absl::Milliseconds(3 * upstream);
        quarantine.recordCrash(part, crashAt(lost, upstream), lost);
    }
    EXPECT_EQ(quarantine.crashes(part, start + absl::Seconds(1)), 1U);
}

// Guards against several hosts or requests that lose their connections to one start of an upstream and are each counted.
TEST(PromptPartQuarantineTest, oneStartOfAnUpstreamCountsOnce)
{
    Quarantine quarantine;
    quarantine.recordCrash(part, crashAt(start, 1), start);
    EXPECT_EQ(quarantine.recordCrash(part, crashAt(start + absl::Seconds(5), 1), start + absl::Seconds(5)), PartChange::None);
    EXPECT_EQ(quarantine.crashes(part, start + absl::Seconds(5)), 1U);
}

// Guards against a popular part that collects the crashes which other parts cause, and against a repeated report that counts crashes
// again which an answer has cleared.
TEST(PromptPartQuarantineTest, answerClearsTheCrashesKnownSoFar)
{
    Quarantine here;
    Quarantine there;
    const absl::Time crashed = crashRepeatedly(there, part, Quarantine::crashesToQuarantine - 1);
    const PartReport report = there.report(part).value();
    here.merge(report, crashed);
    const absl::Time answered = crashed + absl::Milliseconds(100);
    EXPECT_EQ(here.recordAnswer(part, answered), PartChange::Cleared);
    EXPECT_EQ(here.merge(report, answered + absl::Milliseconds(50)), PartChange::None);
    EXPECT_EQ(here.crashes(part, answered + absl::Milliseconds(50)), 0U);
    EXPECT_EQ(here.recordAnswer(part, answered + absl::Seconds(1)), PartChange::None) << "popular parts must cause no announcements";
    EXPECT_EQ(there.merge(here.report(part).value(), answered), PartChange::Cleared);
}

// Guards against a few seconds without answers in which a part that has been answered all the time is refused.
TEST(PromptPartQuarantineTest, provenPartNeedsMoreCrashes)
{
    Quarantine quarantine;
    quarantine.recordAnswer(part, start);
    const absl::Time now = crashRepeatedly(quarantine, part, Quarantine::crashesToQuarantineProven - 1, start + absl::Seconds(1));
    EXPECT_FALSE(quarantine.isQuarantined(part, now));
    crashRepeatedly(quarantine, part, 1, now + absl::Seconds(1));
    EXPECT_TRUE(quarantine.isQuarantined(part, now + absl::Seconds(1)));
}

// Guards against a part with which answers have begun before and that then crashes upstreams in quick succession: the newest crashes must
// not replace those that are far enough apart to count.
TEST(PromptPartQuarantineTest, quickCrashesQuarantineAProvenPart)
{
    PromptPartQuarantine quarantine;
    quarantine.recordAnswer(part, start);
    absl::Time now = start + absl::Seconds(1);
    for (std::uint64_t number = 1; number <= 40; ++number, now += absl::Milliseconds(100)) {
        quarantine.recordCrash(part, {.lost = now + absl::Milliseconds(50), .sent = now, .upstreamStart = number}, now + absl::Milliseconds(50));
    }
    EXPECT_TRUE(quarantine.isQuarantined(part, now));
}

// Guards against upstreams whose crashes are ignored because a connection to the same run was lost earlier, which an answer has cleared.
TEST(PromptPartQuarantineTest, clearedLossDoesNotStandForALaterCrash)
{
    PromptPartQuarantine quarantine;
    for (std::uint64_t run = 1; run <= PromptPartQuarantine::crashesToQuarantine; ++run) {
        quarantine.recordCrash(part, {.lost = start, .sent = start - absl::Milliseconds(50), .upstreamStart = run}, start);
    }
    PromptPartQuarantine other;
    other.merge(quarantine.report(part).value(), start);
    quarantine.recordAnswer(part, start + absl::Milliseconds(100));
    other.merge(quarantine.report(part).value(), start + absl::Milliseconds(100));
    absl::Time now = start + absl::Seconds(1);
    for (std::uint64_t run = 1; run <= PromptPartQuarantine::crashesToQuarantine; ++run, now += absl::Seconds(1)) {
        other.recordCrash(part, {.lost = now, .sent = now - absl::Milliseconds(50), .upstreamStart = run}, now);
    }
    EXPECT_TRUE(other.isQuarantined(part, now));
}

// Guards against a host that starts and counts crashes which the reporting host knows to be cleared.
TEST(PromptPartQuarantineTest, clearedCrashesAreNotReported)
{
    PromptPartQuarantine quarantine;
    absl::Time now = start;
    for (std::uint64_t run = 1; run < PromptPartQuarantine::crashesToQuarantine; ++run, now += absl::Seconds(1)) {
        quarantine.recordCrash(part, {.lost = now, .sent = now - absl::Milliseconds(50), .upstreamStart = run}, now);
    }
    quarantine.recordAnswer(part, now);
    EXPECT_TRUE(quarantine.report(part).value().crashes.empty());
}

// Guards against a quarantine that never ends, trials that crash too many upstreams, and two trials at once.
TEST(PromptPartQuarantineTest, trialsAreRare)
{
    Quarantine quarantine;
    const absl::Time quarantined = crashRepeatedly(quarantine, part, Quarantine::crashesToQuarantine);
    int trials = 0;
    for (absl::Time now = quarantined; now < quarantined + absl::Minutes(5); now += absl::Milliseconds(100)) {
        if (verdict(quarantine, {part}, now) == PartVerdict::Trial) {
            ++trials;
            EXPECT_GE(now, quarantined + absl::Seconds(10));
            EXPECT_EQ(verdict(quarantine, {part}, now), PartVerdict::Refused);
            crashRepeatedly(quarantine, part, 1, now + absl::Milliseconds(50));
        }
    }
    EXPECT_EQ(trials, 2);
}

// Guards against a part that stays refused for half an hour because many crashes had come before the quarantine, or because a retry that
// can not be a trial used the trial up.
TEST(PromptPartQuarantineTest, firstTrialComesSoonAfterManyCrashes)
{
    PromptPartQuarantine quarantine;
    absl::Time now = start;
    for (std::uint64_t run = 1; run <= 12; ++run, now += absl::Milliseconds(200)) {
        quarantine.recordCrash(part, {.lost = now, .sent = now - absl::Milliseconds(50), .upstreamStart = run}, now);
    }
    now += absl::Seconds(10);
    EXPECT_EQ(quarantine.admit({part}, false, atOnce, now).verdict, PartVerdict::Refused);
    EXPECT_EQ(verdict(quarantine, {part}, now), PartVerdict::Trial);
}

// Guards against a trial without a known outcome that is repeated at once.
TEST(PromptPartQuarantineTest, undecidedTrialIsNotRepeatedSoon)
{
    Quarantine quarantine;
    Quarantine other;
    const absl::Time quarantined = crashRepeatedly(quarantine, part, Quarantine::crashesToQuarantine);
    const absl::Time trial = quarantined + absl::Seconds(10);
    ASSERT_EQ(verdict(quarantine, {part}, trial), PartVerdict::Trial);
    other.merge(quarantine.report(part).value(), trial);
    EXPECT_EQ(verdict(quarantine, {part}, trial + absl::Seconds(50)), PartVerdict::Refused);
    EXPECT_EQ(verdict(other, {part}, trial + absl::Seconds(50)), PartVerdict::Refused);
    EXPECT_EQ(verdict(other, {part}, trial + absl::Minutes(1)), PartVerdict::Trial);
}

// Guards against a part that stays quarantined at some hosts after an answer has begun.
TEST(PromptPartQuarantineTest, answerOfATrialLiftsTheQuarantineEverywhere)
{
    Quarantine here;
    Quarantine there;
    const absl::Time quarantined = crashRepeatedly(here, part, Quarantine::crashesToQuarantine);
    EXPECT_EQ(there.merge(here.report(part).value(), quarantined), PartChange::Quarantined);
    const absl::Time trial = quarantined + absl::Seconds(10);
    ASSERT_EQ(verdict(here, {part}, trial), PartVerdict::Trial);
    EXPECT_EQ(here.recordAnswer(part, trial + absl::Milliseconds(40)), PartChange::Lifted);
    EXPECT_EQ(there.merge(here.report(part).value(), trial + absl::Milliseconds(60)), PartChange::Lifted);
    EXPECT_EQ(verdict(there, {part}, trial + absl::Seconds(1)), PartVerdict::Admitted);
}

// Guards against a wrongly quarantined part that never recovers, because each trial also holds a part that crashes upstreams.
TEST(PromptPartQuarantineTest, requestWithFewestQuarantinedPartsIsTheTrial)
{
    Quarantine quarantine;
    crashRepeatedly(quarantine, sharedPart, Quarantine::crashesToQuarantine);
    const absl::Time due = crashRepeatedly(quarantine, part, Quarantine::crashesToQuarantine) + absl::Seconds(10);
    EXPECT_EQ(verdict(quarantine, {sharedPart}, due - absl::Seconds(1)), PartVerdict::Refused);
    EXPECT_EQ(verdict(quarantine, {sharedPart, part}, due), PartVerdict::Refused);
    EXPECT_EQ(verdict(quarantine, {sharedPart}, due), PartVerdict::Trial);
}

// Guards against a quarantine that outlives its use, and that hosts keep alive by reporting it to each other.
TEST(PromptPartQuarantineTest, quarantineEndsWithoutRequests)
{
    Quarantine here;
    Quarantine there;
    const absl::Time quarantined = crashRepeatedly(here, part, Quarantine::crashesToQuarantine);
    there.merge(here.report(part).value(), quarantined);
    const absl::Time later = quarantined + Quarantine::quarantineLifetime;
    EXPECT_TRUE(here.isQuarantined(part, later - absl::Seconds(1)));
    EXPECT_FALSE(here.isQuarantined(part, later));
    here.merge(there.report(part).value(), later);
    EXPECT_FALSE(here.isQuarantined(part, later));
}

// Guards against memory that grows with the parts, which may be new with each request, and against a quarantined part that is dropped
// for them.
TEST(PromptPartQuarantineTest, memoryIsBounded)
{
    Quarantine quarantine;
    absl::Time now = crashRepeatedly(quarantine, part, Quarantine::crashesToQuarantine);
    for (std::uint64_t number = 1; number <= Quarantine::maxParts + 100; ++number) {
        now += absl::Milliseconds(1);
        quarantine.recordCrash(number, crashAt(now, number), now);
    }
    for (std::uint64_t number = 1; number <= 2 * Quarantine::maxProvenParts; ++number) {
        quarantine.recordAnswer((number << 32U) + 1, now);
    }
    EXPECT_LE(quarantine.size(), Quarantine::maxParts);
    EXPECT_LE(quarantine.provenCount(), Quarantine::maxProvenParts);
    EXPECT_TRUE(quarantine.isQuarantined(part, now));
    EXPECT_EQ(quarantine.quarantinedParts(Quarantine::maxParts, now), std::vector<std::uint64_t>{part});
}

} // namespace

} // namespace Bergamotramp
