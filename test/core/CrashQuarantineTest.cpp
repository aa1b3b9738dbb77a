#include "CrashQuarantine.h"

#include <gtest/gtest.h>

namespace Bergamotramp {

namespace {

const absl::Time start = absl::FromUnixSeconds(1'000'000);
constexpr std::uint64_t fingerprint = 4;

void crashUpstreams(CrashQuarantine &quarantine, std::uint32_t crashes, absl::Time now)
{
    for (std::uint32_t crash = 0; crash < crashes; ++crash) {
        quarantine.recordCrash(fingerprint, "upstream-" + std::to_string(crash), now, now);
    }
}

// Guards against a service that refuses its most frequent request: callers that all send the same body lose connections whenever
// upstreams are killed, although thousands of the same requests complete.
TEST(CrashQuarantineTest, requestThatHasCompletedIsNotQuarantined)
{
    CrashQuarantine quarantine;
    quarantine.recordCompletion(fingerprint, start);
    crashUpstreams(quarantine, CrashQuarantine::crashesToQuarantine, start + absl::Seconds(1));
    EXPECT_FALSE(quarantine.isQuarantined(fingerprint, start + absl::Seconds(1)));
    EXPECT_FALSE(quarantine.merge(fingerprint, CrashQuarantine::crashesToQuarantine, start + absl::Seconds(2)))
        << "a host that has seen the request complete must not take over the count of another host";
    EXPECT_FALSE(quarantine.isQuarantined(fingerprint, start + absl::Seconds(2)));
}

// Guards against a quarantine that stays for a day although a copy that was still running has completed.
TEST(CrashQuarantineTest, completionEndsAQuarantine)
{
    CrashQuarantine quarantine;
    crashUpstreams(quarantine, CrashQuarantine::crashesToQuarantine, start);
    ASSERT_TRUE(quarantine.isQuarantined(fingerprint, start));
    EXPECT_TRUE(quarantine.recordCompletion(fingerprint, start));
    EXPECT_FALSE(quarantine.isQuarantined(fingerprint, start));
}

// Guards against copies of one request that run on the same upstream and are each counted when it crashes once.
TEST(CrashQuarantineTest, copiesOnACrashedUpstreamAreOneCrash)
{
    CrashQuarantine quarantine;
    const absl::Time crash = start + absl::Milliseconds(20);
    EXPECT_EQ(quarantine.recordCrash(fingerprint, "upstream", start, crash), 1U);
    for (std::uint32_t copy = 0; copy < CrashQuarantine::crashesToQuarantine; ++copy) {
        EXPECT_EQ(quarantine.recordCrash(fingerprint, "upstream", start, crash + absl::Milliseconds(40)), std::nullopt);
    }
    EXPECT_TRUE(quarantine.isSuspect(fingerprint, crash + absl::Milliseconds(40)));
    const absl::Time restarted = crash + absl::Milliseconds(100);
    EXPECT_EQ(quarantine.recordCrash(fingerprint, "upstream", restarted, restarted), 2U) << "a copy that started after the crash";
}

// Guards against a request that was changed on the upstreams' side to crash them and is never quarantined, because it completed
// long ago.
TEST(CrashQuarantineTest, completionsAreForgotten)
{
    CrashQuarantine quarantine;
    quarantine.recordCompletion(fingerprint, start);
    const absl::Time later = start + 3 * CrashQuarantine::completionLifetime;
    crashUpstreams(quarantine, CrashQuarantine::crashesToQuarantine, later);
    EXPECT_TRUE(quarantine.isQuarantined(fingerprint, later));
}

// Guards against a crash that is lost when several hosts each count one: two crashes counted apart were merged to one, and a crashing request
// crashed a fourth upstream. The order of the announcements, and how often they arrive, must not matter.
TEST(CrashQuarantineTest, crashesCountedByDifferentHostsAddUp)
{
    CrashQuarantine hosts[3];
    for (std::size_t index = 0; index < 3; ++index) {
        hosts[index].recordCrash(fingerprint, "upstream-" + std::to_string(index), start, start);
    }
    const CrashCount counts[3] = {hosts[0].count(fingerprint), hosts[1].count(fingerprint), hosts[2].count(fingerprint)};
    for (std::size_t index = 0; index < 3; ++index) {
        EXPECT_FALSE(hosts[index].merge(counts[index], start));
        EXPECT_TRUE(hosts[index].merge(counts[(index + 2) % 3], start));
        EXPECT_FALSE(hosts[index].merge(counts[(index + 2) % 3], start));
        EXPECT_FALSE(hosts[index].isQuarantined(fingerprint, start)) << "two crashes";
        EXPECT_TRUE(hosts[index].merge(counts[(index + 1) % 3], start));
        EXPECT_TRUE(hosts[index].isQuarantined(fingerprint, start));
        EXPECT_EQ(hosts[index].list(), hosts[0].list());
    }
}

// Guards against a harmless request that is quarantined because several hosts count the same crash.
TEST(CrashQuarantineTest, crashCountedByTwoHostsIsOneCrash)
{
    CrashQuarantine first;
    CrashQuarantine second;
    const absl::Time crash = start + absl::Milliseconds(20);
    first.recordCrash(fingerprint, "upstream", start, crash);
    second.recordCrash(fingerprint, "upstream", start, crash);
    EXPECT_FALSE(first.merge(second.count(fingerprint), crash));
    CrashQuarantine third;
    EXPECT_TRUE(third.merge(first.count(fingerprint), crash));
    EXPECT_EQ(third.recordCrash(fingerprint, "upstream", start, crash + absl::Milliseconds(20)), std::nullopt) << "announced before it was seen";
    EXPECT_EQ(third.list(), first.list());
}

// Guards against memory that grows with the number of different requests.
TEST(CrashQuarantineTest, completionsAreBounded)
{
    CrashQuarantine quarantine;
    for (std::uint64_t request = 1; request <= 10 * CrashQuarantine::maxFingerprints; ++request) {
        quarantine.recordCompletion(request, start);
    }
    EXPECT_LE(quarantine.completedCount(), CrashQuarantine::maxFingerprints);
}

} // namespace

} // namespace Bergamotramp
