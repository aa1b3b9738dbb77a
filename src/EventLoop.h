#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>

#include <absl/time/time.h>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace Bergamotramp {

class EventLoop;

/** Ends its timer when destroyed or cancelled. Must not outlive its event loop. */
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
    [[nodiscard]] bool active() const;

private:
    EventLoop *loop = nullptr;
    std::pair<absl::Time, std::uint64_t> key;
};

/** The event loop and timer service of a single-threaded daemon. Not thread-safe. */
class EventLoop
{
public:
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /** Time that never goes back within a process; close to the time of day at the start. */
    [[nodiscard]] absl::Time now() const;
    /** Calls @p callback once after @p delay. */
    [[nodiscard]] LoopTimer after(absl::Duration delay, std::function<void()> callback);
    /** Calls @p callback from the loop as soon as the present one has returned. */
    void post(std::function<void()> callback);
    void run();
    void stop();
    /** For sockets; Asio.h defines the type. */
    boost::asio::io_context &context();

private:
    friend class LoopTimer;
    struct Io;
    using Key = std::pair<absl::Time, std::uint64_t>;

    void cancel(const Key &key);
    [[nodiscard]] bool contains(const Key &key) const;
    void arm();
    void runDue();

    /** Destroyed after the I/O context, whose handlers cancel timers when they are destroyed. */
    std::map<Key, std::function<void()>> timers;
    std::unique_ptr<Io> io;
    absl::Time startTime;
    std::chrono::steady_clock::time_point startSteady;
    absl::Time armedFor = absl::InfiniteFuture();
    std::uint64_t nextId = 1;
};

} // namespace Bergamotramp
