#include "AnnouncementSchedule.h"

#include <set>

#include <gtest/gtest.h>

namespace Bergamotramp {

namespace {

const absl::Time start = absl::FromUnixSeconds(1'000'000);
// A datagram with the loads at a few upstreams, and one that also has the sender's identity.
constexpr double datagramBytes = 110;
constexpr double identityBytes = 200;
constexpr double maxControlBytesPerSecond = 27'000;

struct Fleet {
    std::size_t near = 0;
    std::size_t region = 0;
    std::size_t all = 0;
};

struct Traffic {
    double nearBytesPerSecond = 0;
    double farBytesPerSecond = 0;
};

/** Sends the announcements of one host whose load changes all the time, and counts their bytes. */
Traffic measure(const Fleet &fleet, bool urgent = false)
{
    constexpr absl::Duration length = absl::Seconds(60);
    AnnouncementSchedule schedule;
    schedule.setFleet(fleet.near, fleet.all);
    const std::map<PeerDistance, std::size_t> receivers{
        {PeerDistance::Near, fleet.near}, {PeerDistance::SameRegion, fleet.region - fleet.near}, {PeerDistance::OtherRegion, fleet.all - fleet.region}};
    Traffic traffic;
    for (absl::Time now = start; now < start + length; now += schedule.tickPeriod()) {
        for (const AnnouncementSchedule::Round &round : schedule.takeDue(true, urgent, now)) {
            double bytes = 0;
            for (std::size_t position = 0; position < receivers.at(round.distance); ++position) {
                bytes += schedule.sendsIdentity(round, position) ? identityBytes : datagramBytes;
            }
            (round.distance == PeerDistance::Near ? traffic.nearBytesPerSecond : traffic.farBytesPerSecond) += bytes;
        }
    }
    traffic.nearBytesPerSecond /= absl::ToDoubleSeconds(length);
    traffic.farBytesPerSecond /= absl::ToDoubleSeconds(length);
    return traffic;
}

// Guards against announcements between data centres that grow with the square of the fleet, as complete announcements and identities to
// all hosts each second do. A host may use 27 KB/s for control.
TEST(AnnouncementScheduleTest, bytesToOtherDataCentresDoNotGrowWithTheFleet)
{
    const Traffic hundreds = measure({.near = 41, .region = 124, .all = 249});
    const Traffic target = measure({.near = 36, .region = 133, .all = 399});
    EXPECT_LT(hundreds.farBytesPerSecond, maxControlBytesPerSecond);
    EXPECT_LT(target.farBytesPerSecond, maxControlBytesPerSecond);
    EXPECT_LT(target.farBytesPerSecond, 1.1 * hundreds.farBytesPerSecond);
}

// Guards against control traffic beyond what a host of the size to design for may use: 400 hosts in eleven data centres of three regions.
TEST(AnnouncementScheduleTest, allAnnouncementsStayWithinTheControlBudget)
{
    const Traffic target = measure({.near = 36, .region = 133, .all = 399});
    EXPECT_LT(target.nearBytesPerSecond + target.farBytesPerSecond, maxControlBytesPerSecond);
}

// Guards against hosts that lose each other: each host at any distance gets complete announcements within the announced time, and the
// identity from time to time.
TEST(AnnouncementScheduleTest, everyHostGetsCompleteAnnouncementsAndIdentities)
{
    AnnouncementSchedule schedule;
    schedule.setFleet(41, 249);
    std::map<PeerDistance, absl::Time> last;
    std::map<PeerDistance, std::set<std::size_t>> withIdentity;
    for (absl::Time now = start; now < start + absl::Minutes(1); now += schedule.tickPeriod()) {
        for (const AnnouncementSchedule::Round &round : schedule.takeDue(false, false, now)) {
            ASSERT_TRUE(round.complete);
            if (last.contains(round.distance)) {
                EXPECT_LE(now - last[round.distance], round.nextWithin + schedule.tickPeriod());
            }
            last[round.distance] = now;
            for (std::size_t position = 0; position < 40; ++position) {
                if (schedule.sendsIdentity(round, position)) {
                    withIdentity[round.distance].insert(position);
                }
            }
        }
    }
    EXPECT_EQ(last.size(), 3U);
    for (const auto &[distance, positions] : withIdentity) {
        EXPECT_EQ(positions.size(), 40U);
    }
}

// Guards against late announcements of loads in a small fleet, and against changed loads that are never announced.
TEST(AnnouncementScheduleTest, smallFleetGetsEachChangeAtOnce)
{
    AnnouncementSchedule schedule;
    schedule.setFleet(7, 7);
    EXPECT_LE(schedule.tickPeriod(), absl::Milliseconds(25));
    ASSERT_EQ(schedule.takeDue(true, false, start).size(), 1U);
    const auto changes = schedule.takeDue(true, false, start + schedule.tickPeriod());
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes[0].distance, PeerDistance::Near);
    EXPECT_FALSE(changes[0].complete);
    EXPECT_TRUE(schedule.takeDue(false, false, start + 2 * schedule.tickPeriod()).empty());
}

// Guards against a crashing request that other regions still run because its crash count reaches them seconds later.
TEST(AnnouncementScheduleTest, urgentAnnouncementsReachAllHostsSoon)
{
    AnnouncementSchedule schedule;
    schedule.setFleet(41, 249);
    schedule.takeDue(false, false, start);
    std::set<PeerDistance> reached;
    for (absl::Time now = start; now <= start + absl::Seconds(1); now += schedule.tickPeriod()) {
        for (const AnnouncementSchedule::Round &round : schedule.takeDue(false, true, now)) {
            reached.insert(round.distance);
        }
    }
    EXPECT_EQ(reached.size(), 3U);
}

} // namespace

} // namespace Bergamotramp
