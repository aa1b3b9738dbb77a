#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include <absl/time/time.h>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace Bergamotramp {

class EventLoop;

/** Handle of a timer, which is cancelled with cancel() or when the handle is destroyed. Must not outlive its event loop. */
class LoopTimer
{
public:
    LoopTimer() = default;
    LoopTimer(EventLoop *loop, std::pair<absl::Time, std::uint64_t> key);
    LoopTimer(LoopTimer &&other) noexcept;
    LoopTimer &operator=(LoopTimer &&other) noexcept;
    LoopTimer(const LoopTimer &) = delete;
    LoopTimer &operator=(const LoopTimer &) = delete;
    ~LoopTimer();

    void cancel();
    /** Whether the callback is still to be called. */
    [[nodiscard]] bool active() const;

private:
    EventLoop *loop = nullptr;
    std::pair<absl::Time, std::uint64_t> key;
};

/** Runs the socket handlers, timers and posted callbacks of a single-threaded daemon. Not thread-safe. */
class EventLoop
{
public:
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /** Monotonic time: the wall-clock time at the construction of the loop plus the time elapsed since then on the steady clock. */
    [[nodiscard]] absl::Time now() const;
    /** Like now(), but also counts the time for which the machine was suspended. For leases that other hosts wait for. */
    [[nodiscard]] absl::Time nowIncludingSuspend() const;
    /** Calls @p callback once after @p delay, unless the returned timer is cancelled or destroyed earlier. */
    [[nodiscard]] LoopTimer after(absl::Duration delay, std::function<void()> callback);
    /** Queues @p callback; the loop calls it after the current callback has returned. */
    void post(std::function<void()> callback);
    /**
     * Sets the function that receives the exceptions of callbacks; the loop then continues with the next callback. Without it,
     * run() throws them.
     */
    void setErrorHandler(std::function<void(const std::string &error)> handler);
    /** Calls @p callback and passes its exception to the error handler, if there is one. Returns whether it threw none. */
    bool runGuarded(const std::function<void()> &callback);
    /** Runs callbacks until stop() is called, also while none is pending. */
    void run();
    void stop();
    /** I/O context for sockets and other Asio objects. Asio.h includes the definition of its type. */
    boost::asio::io_context &context();

private:
    friend class LoopTimer;
    struct Io;
    using Key = std::pair<absl::Time, std::uint64_t>;

    void cancel(const Key &key);
    [[nodiscard]] bool contains(const Key &key) const;
    void scheduleWakeUp();
    void runDueTimers();

    /** Declared before the I/O context so that it is destroyed later: handlers that the context destroys cancel their timers. */
    std::map<Key, std::function<void()>> timers;
    std::unique_ptr<Io> io;
    std::function<void(const std::string &)> errorHandler;
    absl::Time startTime;
    std::chrono::steady_clock::time_point steadyStartTime;
    absl::Duration bootClockAtStart;
    absl::Time nextWakeUp = absl::InfiniteFuture();
    std::uint64_t nextTimerId = 1;
};

} // namespace Bergamotramp
