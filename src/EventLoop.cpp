#include "EventLoop.h"

#include <ctime>

#include <absl/time/clock.h>

#include "Asio.h"

namespace Bergamotramp {

namespace {

absl::Duration readBootClock()
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return absl::DurationFromTimespec(time);
}

} // namespace

struct EventLoop::Io {
    asio::io_context context{1};
    asio::steady_timer wakeUpTimer{this->context};
};

LoopTimer::LoopTimer(EventLoop *loop, std::pair<absl::Time, std::uint64_t> key) : loop(loop), key(key)
{
}

LoopTimer::LoopTimer(LoopTimer &&other) noexcept : loop(std::exchange(other.loop, nullptr)), key(other.key)
{
}

LoopTimer &LoopTimer::operator=(LoopTimer &&other) noexcept
{
    if (this != &other) {
        this->cancel();
        this->loop = std::exchange(other.loop, nullptr);
        this->key = other.key;
    }
    return *this;
}

LoopTimer::~LoopTimer()
{
    this->cancel();
}

void LoopTimer::cancel()
{
    if (this->loop != nullptr) {
        std::exchange(this->loop, nullptr)->cancel(this->key);
    }
}

bool LoopTimer::active() const
{
    return this->loop != nullptr && this->loop->contains(this->key);
}

EventLoop::EventLoop()
    : io(std::make_unique<Io>()), startTime(absl::Now()), steadyStartTime(std::chrono::steady_clock::now()), bootClockAtStart(readBootClock())
{
}

EventLoop::~EventLoop()
{
    // Destroys the callbacks while the I/O context and the map still exist: they may own sockets, which need the context, and
    // timers, which remove themselves from the map.
    auto remainingTimers = std::exchange(this->timers, {});
    remainingTimers.clear();
}

absl::Time EventLoop::now() const
{
    return this->startTime + absl::FromChrono(std::chrono::steady_clock::now() - this->steadyStartTime);
}

absl::Time EventLoop::nowIncludingSuspend() const
{
    return this->startTime + (readBootClock() - this->bootClockAtStart);
}

LoopTimer EventLoop::after(absl::Duration delay, std::function<void()> callback)
{
    const Key key{this->now() + delay, this->nextTimerId++};
    this->timers.emplace(key, std::move(callback));
    this->scheduleWakeUp();
    return {this, key};
}

void EventLoop::post(std::function<void()> callback)
{
    asio::post(this->io->context, [this, callback = std::move(callback)] { this->runGuarded(callback); });
}

void EventLoop::run()
{
    const auto workGuard = asio::make_work_guard(this->io->context);
    while (!this->io->context.stopped()) {
        // Callbacks of sockets that are not guarded by their owner end the run of the context, not of the loop.
        this->runGuarded([this] { this->io->context.run(); });
    }
}

void EventLoop::setErrorHandler(std::function<void(const std::string &)> handler)
{
    this->errorHandler = std::move(handler);
}

bool EventLoop::runGuarded(const std::function<void()> &callback)
{
    try {
        callback();
        return true;
    } catch (const std::exception &error) {
        if (!this->errorHandler) {
            throw;
        }
        this->errorHandler(error.what());
        return false;
    }
}

void EventLoop::stop()
{
    this->io->context.stop();
}

boost::asio::io_context &EventLoop::context()
{
    return this->io->context;
}

void EventLoop::cancel(const Key &key)
{
    // The scheduled wake-up stays, because most timers are cancelled before they expire. A wake-up without a due timer only
    // schedules the next one.
    this->timers.erase(key);
}

bool EventLoop::contains(const Key &key) const
{
    return this->timers.contains(key);
}

void EventLoop::scheduleWakeUp()
{
    if (this->timers.empty() || this->timers.begin()->first.first >= this->nextWakeUp) {
        return;
    }
    this->nextWakeUp = this->timers.begin()->first.first;
    this->io->wakeUpTimer.expires_at(this->steadyStartTime + absl::ToChronoNanoseconds(this->nextWakeUp - this->startTime));
    this->io->wakeUpTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            this->runDueTimers();
        }
    });
}

void EventLoop::runDueTimers()
{
    this->nextWakeUp = absl::InfiniteFuture();
    const absl::Time currentTime = this->now();
    while (!this->timers.empty() && this->timers.begin()->first.first <= currentTime) {
        const auto timer = this->timers.extract(this->timers.begin());
        this->runGuarded(timer.mapped());
    }
    this->scheduleWakeUp();
}

} // namespace Bergamotramp
