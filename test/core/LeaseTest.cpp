#include "Lease.h"

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <utility>

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "FencedOrders.h"
#include "SimulatedStore.h"

namespace Bergamotramp {

namespace {

const absl::Time start = absl::FromUnixSeconds(1'700'000'000);

struct Contender {
    std::unique_ptr<Lease> lease;
    std::optional<LeaseCall> call;
    /** Constant offset of the host's clock; all clocks run at the same speed. */
    absl::Duration clockError;
};

void answerCall(Contender &contender, SimulatedStore &store, absl::Time now, int fault)
{
    if (!contender.call.has_value()) {
        return;
    }
    const LeaseCall call = *std::exchange(contender.call, std::nullopt);
    if (call.value.has_value()) {
        contender.lease->writeSettled(store.put(call.key, *call.value, call.precondition, fault), now);
    } else if (fault == 0) {
        contender.lease->readFailed(now);
    } else {
        contender.lease->objectRead(store.get(call.key), now);
    }
}

// Guards against two hosts that hold a lease at once, or hold it with the same epoch, when responses of the store are lost or late.
TEST(LeaseTest, atMostOneHolder)
{
    std::size_t heldSamples = 0;
    EXPECT_TRUE(rc::check("lease", [&heldSamples] {
        SimulatedStore store;
        std::array<Contender, 3> contenders;
        std::map<std::uint64_t, std::size_t> holderOfEpoch;
        for (std::size_t index = 0; index < contenders.size(); ++index) {
            contenders[index].lease = std::make_unique<Lease>(LeaseSettings{"pool", absl::StrCat("host-", index), index + 1});
            contenders[index].clockError = absl::Hours(static_cast<std::int64_t>(index) - 1);
        }
        absl::Time now = start;
        for (int count = 0; count < 400; ++count) {
            const std::size_t index = *rc::gen::inRange<std::size_t>(0, contenders.size());
            const int choice = *rc::gen::inRange(0, 12);
            Contender &contender = contenders[index];
            now += absl::Milliseconds(*rc::gen::inRange(0, 400));
            if (choice == 11) {
                store.applyDelayedCall(0);
            } else if (contender.call.has_value()) {
                answerCall(contender, store, now + contender.clockError, choice);
            } else {
                contender.call = contender.lease->tick(now + contender.clockError);
            }
            std::size_t holders = 0;
            for (std::size_t other = 0; other < contenders.size(); ++other) {
                const Contender &holder = contenders[other];
                if (holder.lease->isHeld(now + holder.clockError)) {
                    ++holders;
                    RC_ASSERT(holderOfEpoch.emplace(holder.lease->epoch(), other).first->second == other);
                }
            }
            RC_ASSERT(holders <= 1U);
            heldSamples += holders;
        }
    }));
    EXPECT_GT(heldSamples, 1000U);
}

// Guards against a lease that stays held until it expires after its holder was shut down as planned.
TEST(LeaseTest, releasedLeaseIsAcquiredAtOnce)
{
    SimulatedStore store;
    Contender first{std::make_unique<Lease>(LeaseSettings{"pool", "first", 1}), std::nullopt, {}};
    Contender second{std::make_unique<Lease>(LeaseSettings{"pool", "second", 1}), std::nullopt, {}};
    const auto run = [&store](Contender &contender, absl::Time now) {
        for (int count = 0; count < 4; ++count) {
            contender.call = contender.lease->tick(now);
            answerCall(contender, store, now, SimulatedStore::noFault);
        }
    };
    run(first, start);
    run(second, start + absl::Seconds(1));
    EXPECT_TRUE(first.lease->isHeld(start + absl::Seconds(1)));
    EXPECT_FALSE(second.lease->isHeld(start + absl::Seconds(1)));
    first.lease->release();
    run(first, start + absl::Seconds(2));
    EXPECT_FALSE(first.lease->isHeld(start + absl::Seconds(2)));
    run(second, start + absl::Seconds(4));
    EXPECT_TRUE(second.lease->isHeld(start + absl::Seconds(4)));
    EXPECT_EQ(second.lease->epoch(), 2U);
}

// Guards against an old holder's order that an upstream without fencing carries out after an order of the new holder. The new holder has to
// wait until the old order has expired.
TEST(FencedOrdersTest, newHolderWaitsIfUpstreamIgnoresTokens)
{
    FencedOrders orders(FencedOrdersSettings{});
    orders.setWanted({"checks", "{}", true});
    orders.setWanted({"ignores", "{}", false});
    EXPECT_TRUE(orders.tick(start).empty());
    orders.leaseHeld(5, start, start + absl::Seconds(100));
    const std::vector<DueOrder> first = orders.tick(start);
    ASSERT_EQ(first.size(), 1U);
    EXPECT_EQ(first[0].order.upstream, "checks");
    EXPECT_EQ(first[0].fencingToken, 5U);
    EXPECT_TRUE(orders.tick(start + absl::Seconds(39)).empty());
    EXPECT_EQ(orders.tick(start + absl::Seconds(40)).size(), 1U);
    orders.orderSettled("checks", 5, OrderOutcome::Accepted, start + absl::Seconds(41));
    orders.orderSettled("ignores", 5, OrderOutcome::Failed, start + absl::Seconds(41));
    EXPECT_EQ(orders.openOrders(), 1U);
    EXPECT_TRUE(orders.tick(start + absl::Seconds(41)).empty());
    EXPECT_EQ(orders.tick(start + absl::Seconds(42)).size(), 1U);
}

// Guards against a holder that keeps sending orders after an upstream has refused its token, or after its lease has ended.
TEST(FencedOrdersTest, holderStopsAfterItsTokenIsRefused)
{
    FencedOrders orders(FencedOrdersSettings{});
    orders.leaseHeld(1, start, start + absl::Seconds(10));
    orders.setWanted({"a", "{}", true});
    EXPECT_EQ(orders.tick(start).size(), 1U);
    orders.setWanted({"b", "{}", true});
    orders.orderSettled("a", 1, OrderOutcome::Fenced, start);
    EXPECT_TRUE(orders.tick(start + absl::Seconds(1)).empty());
    orders.leaseHeld(3, start + absl::Seconds(2), start + absl::Seconds(12));
    EXPECT_TRUE(orders.tick(start + absl::Seconds(12)).empty());
    EXPECT_EQ(orders.tick(start + absl::Seconds(3)).size(), 2U);
}

// Guards against a refused token that is sent again before the lease is renewed. After the renewal, which shows that the lease is still held,
// orders must be sent again.
TEST(FencedOrdersTest, refusedTokenIsUsedAgainOnlyAfterARenewal)
{
    FencedOrders orders(FencedOrdersSettings{});
    orders.leaseHeld(1, start, start + absl::Seconds(10));
    orders.setWanted({"a", "{}", true});
    EXPECT_EQ(orders.tick(start).size(), 1U);
    EXPECT_TRUE(orders.orderSettled("a", 1, OrderOutcome::Fenced, start));
    orders.leaseHeld(1, start, start + absl::Seconds(10));
    EXPECT_TRUE(orders.tick(start + absl::Seconds(2)).empty());
    orders.leaseHeld(1, start, start + absl::Seconds(13));
    EXPECT_EQ(orders.tick(start + absl::Seconds(3)).size(), 1U);
}

// Guards against a constant retry delay, by which an upstream that is down gets an order a second from every pool's holder.
TEST(FencedOrdersTest, retryDelayGrowsWithFailures)
{
    FencedOrders orders(FencedOrdersSettings{});
    orders.leaseHeld(1, start, start + absl::Hours(1));
    orders.setWanted({"a", "{}", true});
    absl::Time now = start;
    for (const int pause : {1, 2, 4, 8, 16, 30, 30}) {
        EXPECT_EQ(orders.tick(now).size(), 1U);
        EXPECT_TRUE(orders.orderSettled("a", 1, OrderOutcome::Failed, now));
        now += absl::Seconds(pause);
        EXPECT_TRUE(orders.tick(now - absl::Milliseconds(1)).empty());
    }
    orders.setWanted({"a", "{1}", true});
    EXPECT_EQ(orders.tick(now - absl::Milliseconds(1)).size(), 1U);
}

} // namespace

} // namespace Bergamotramp
