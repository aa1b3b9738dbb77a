#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

#include <absl/time/time.h>

namespace Bergamotramp {

class TimerService;

/**
 * Handle of a timer, which cancels it on destruction. After cancel() returns, the callback neither runs nor will run, except
 * when the callback itself called cancel(). The service has to outlive the handle.
 */
class TimerSubscription
{
public:
    TimerSubscription() = default;
    TimerSubscription(TimerService *service, std::uint64_t id);
    TimerSubscription(TimerSubscription &&other) noexcept;
    TimerSubscription &operator=(TimerSubscription &&other) noexcept;
    TimerSubscription(const TimerSubscription &) = delete;
    TimerSubscription &operator=(const TimerSubscription &) = delete;
    ~TimerSubscription();

    void cancel();

private:
    TimerService *service = nullptr;
    std::uint64_t id = 0;
};

/** Timers whose callbacks run on one thread of the service. Callbacks must not block. */
class TimerService
{
public:
    TimerService();
    ~TimerService();
    TimerService(const TimerService &) = delete;
    TimerService &operator=(const TimerService &) = delete;

    /** Calls @p callback periodically, for the first time after one @p period. */
    [[nodiscard]] TimerSubscription every(absl::Duration period, std::function<void()> callback);
    /** Calls @p callback once after @p delay. */
    [[nodiscard]] TimerSubscription after(absl::Duration delay, std::function<void()> callback);

private:
    friend class TimerSubscription;

    struct Timer {
        absl::Duration period;
        std::shared_ptr<std::function<void()>> callback;
    };

    TimerSubscription add(absl::Duration delay, absl::Duration period, std::function<void()> callback);
    void cancel(std::uint64_t id);
    void run();
    void runDueTimer(std::unique_lock<std::mutex> &lock);

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::uint64_t, Timer> timers;
    std::multimap<absl::Time, std::uint64_t> schedule;
    std::uint64_t nextId = 1;
    std::uint64_t runningId = 0;
    bool stopping = false;
    std::thread thread;
};

} // namespace Bergamotramp
