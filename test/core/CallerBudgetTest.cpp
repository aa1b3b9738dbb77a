#include <gtest/gtest.h>

#include <algorithm>
#include <map>

#include "CallerBudget.h"

namespace Bergamotramp {

namespace {

constexpr std::int64_t memoryMb = 64;
constexpr std::int64_t descriptors = 256;
constexpr std::size_t megabyte = 1024 * 1024;

class CallerBudgetTest : public testing::Test
{
protected:
    CallerBudget::Id open(const std::string &address = "10.0.0.1", CallerClass callerClass = CallerClass::Caller)
    {
        const auto id = std::make_shared<CallerBudget::Id>(0);
        *id = this->budget.open(callerClass, address, this->now, [this, id](CallerLimit limit) {
            this->closed[*id] = limit;
            this->budget.closed(*id);
        });
        return *id;
    }
    /** A connection on which @p bytes of a body have just arrived. */
    CallerBudget::Id receive(std::size_t bytes)
    {
        const CallerBudget::Id id = this->open();
        this->budget.moved(id, bytes, this->now);
        this->budget.hold(id, bytes, true, this->now);
        return id;
    }

    absl::Time now = absl::UnixEpoch();
    std::map<CallerBudget::Id, CallerLimit> closed;
    int reports = 0;
    CallerBudget budget{memoryMb, descriptors, [this](CallerLimit, const std::string &, std::uint64_t) { ++this->reports; }};
    const CallerLimits limits = CallerLimits::derive(CallerClass::Caller, memoryMb, descriptors);
};

// Guards against a budget that closes a caller who sends, for one who has stopped just short of the end.
TEST_F(CallerBudgetTest, stoppedConnectionIsClosedBeforeOneThatSends)
{
    const auto sending = this->open();
    const auto stopped = this->receive(6 * megabyte);
    this->now += absl::Seconds(5);
    this->budget.moved(sending, 6 * megabyte, this->now);
    this->budget.hold(sending, 6 * megabyte, true, this->now);
    EXPECT_TRUE(this->closed.contains(stopped));
    EXPECT_FALSE(this->closed.contains(sending));
    EXPECT_LE(this->budget.bytes(CallerClass::Caller), this->limits.bytes);
}

// Guards against closing a request that may have run.
TEST_F(CallerBudgetTest, requestInProgressIsNotClosed)
{
    const auto running = this->open();
    this->budget.hold(running, 11 * megabyte, false, this->now);
    this->now += absl::Seconds(5);
    this->receive(2 * megabyte);
    EXPECT_FALSE(this->closed.contains(running));
}

// Guards against large bodies that fill the part for small ones, and against stopped callers that keep out the others.
TEST_F(CallerBudgetTest, largeBodyIsRefusedWhileSmallOneFits)
{
    const auto held = this->open();
    this->budget.hold(held, 6 * megabyte, false, this->now);
    const auto id = this->open();
    EXPECT_FALSE(this->budget.admitBody(id, 4 * megabyte, this->now));
    EXPECT_TRUE(this->budget.admitBody(id, 1024, this->now));
    this->budget.hold(held, 6 * megabyte, true, this->now);
    this->now += absl::Seconds(2);
    EXPECT_TRUE(this->budget.admitBody(id, 4 * megabyte, this->now));
    EXPECT_TRUE(this->closed.contains(held));
}

// Guards against a single largest request that the smallest budget refuses.
TEST_F(CallerBudgetTest, largestRequestFitsIntoTheSmallestBudget)
{
    const CallerLimits smallest = CallerLimits::derive(CallerClass::Caller, 20, 100);
    EXPECT_GE(smallest.bytes / 4 * 3, 2 * 4 * megabyte);
}

// Guards against a crowd at one class of addresses that takes the connections or bytes of another.
TEST_F(CallerBudgetTest, classesDoNotShareTheirParts)
{
    const std::size_t connections = 2 * this->limits.connections;
    for (std::size_t number = 0; number < connections; ++number) {
        this->open("10.0.1." + std::to_string(number));
    }
    EXPECT_EQ(this->budget.connections(CallerClass::Caller), this->limits.connections);
    EXPECT_NE(this->open("10.0.0.1", CallerClass::Host), 0);
    EXPECT_NE(this->open("10.0.0.1", CallerClass::Check), 0);
}

// Guards against idle connections that lock out later callers, and against one address that takes all connections.
TEST_F(CallerBudgetTest, idleConnectionMakesRoomAndOneAddressDoesNotTakeAll)
{
    for (std::size_t number = 0; number < this->limits.connectionsPerAddress; ++number) {
        EXPECT_NE(this->open("10.0.0.9"), 0);
    }
    EXPECT_EQ(this->open("10.0.0.9"), 0);
    for (std::size_t number = this->limits.connectionsPerAddress; number < this->limits.connections; ++number) {
        EXPECT_NE(this->open("10.0.1." + std::to_string(number)), 0);
    }
    EXPECT_EQ(this->open("10.0.2.1"), 0);
    this->now += absl::Seconds(1);
    EXPECT_NE(this->open("10.0.2.1"), 0);
    EXPECT_EQ(this->closed.size(), 1);
}

// Guards against a log that a crowd fills.
TEST_F(CallerBudgetTest, reportsAreLimitedAndCountsAreNot)
{
    for (std::size_t number = 0; number < this->limits.connectionsPerAddress + 100; ++number) {
        this->open("10.0.0.9");
    }
    EXPECT_EQ(this->budget.count(CallerLimit::Connections), 100);
    EXPECT_EQ(this->reports, 1);
}

bool disconnects(std::size_t bytesPerSecond, int stallSeconds)
{
    LeastRate rate;
    absl::Time now = absl::UnixEpoch();
    rate.start(now);
    for (int second = 0; second < 120; ++second) {
        now += absl::Seconds(1);
        if (second % (stallSeconds + 1) == stallSeconds) {
            rate.add(bytesPerSecond);
        }
        if (rate.tooSlow(now)) {
            return true;
        }
    }
    return false;
}

// Guards against a least rate that disconnects a phone, also one whose link stalls, or that lets a trickle pass.
TEST(LeastRateTest, phonePassesAndTrickleDoesNot)
{
    EXPECT_FALSE(disconnects(2'000, 0));
    EXPECT_FALSE(disconnects(2'000, 13));
    EXPECT_FALSE(disconnects(100, 0));
    EXPECT_TRUE(disconnects(99, 0));
    EXPECT_TRUE(disconnects(1, 0));
}

// Guards against a caller who is disconnected although nothing waits for him.
TEST(LeastRateTest, nothingIsJudgedWhileNothingWaits)
{
    LeastRate rate;
    rate.start(absl::UnixEpoch());
    rate.stop();
    EXPECT_FALSE(rate.tooSlow(absl::UnixEpoch() + absl::Hours(1)));
}

} // namespace

} // namespace Bergamotramp
