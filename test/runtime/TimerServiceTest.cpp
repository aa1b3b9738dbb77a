#include "TimerService.h"

#include <atomic>
#include <future>

#include <gtest/gtest.h>

namespace Bergamotramp {

namespace {

TEST(TimerServiceTest, runsPeriodicCallbackRepeatedly)
{
    TimerService timers;
    std::promise<void> third;
    std::atomic<int> calls{0};
    const TimerSubscription subscription = timers.every(absl::Milliseconds(1), [&] {
        if (++calls == 3) {
            third.set_value();
        }
    });
    third.get_future().wait();
    EXPECT_GE(calls, 3);
}

// Guards against a callback that runs after its timer was cancelled, when its owner may have been destroyed.
TEST(TimerServiceTest, noCallbackAfterCancel)
{
    TimerService timers;
    std::atomic<int> calls{0};
    TimerSubscription subscription = timers.every(absl::Microseconds(100), [&] { ++calls; });
    subscription.cancel();
    const int atCancel = calls;
    std::promise<void> later;
    const TimerSubscription wait = timers.after(absl::Milliseconds(5), [&] { later.set_value(); });
    later.get_future().wait();
    EXPECT_EQ(calls, atCancel);
}

TEST(TimerServiceTest, callbackMayCancelItself)
{
    TimerService timers;
    TimerSubscription subscription;
    std::promise<void> assigned;
    std::promise<void> done;
    std::atomic<int> calls{0};
    subscription = timers.every(absl::Milliseconds(1), [&, ready = assigned.get_future().share()] {
        ready.wait();
        subscription.cancel();
        ++calls;
        done.set_value();
    });
    assigned.set_value();
    done.get_future().wait();
    EXPECT_EQ(calls, 1);
}

} // namespace

} // namespace Bergamotramp
