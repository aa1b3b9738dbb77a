#include "EventLoop.h"

#include <absl/time/clock.h>

#include "Asio.h"

namespace Bergamotramp {

struct EventLoop::Io {
    asio::io_context context{1};
    asio::steady_timer alarm{this->context};
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

EventLoop::EventLoop() : io(std::make_unique<Io>()), startTime(absl::Now()), startSteady(std::chrono::steady_clock::now())
{
}

EventLoop::~EventLoop()
{
    // Callbacks may hold sockets, which need the I/O context, and timers, which remove themselves from the map.
    auto pending = std::exchange(this->timers, {});
    pending.clear();
}

absl::Time EventLoop::now() const
{
    return this->startTime + absl::FromChrono(std::chrono::steady_clock::now() - this->startSteady);
}

LoopTimer EventLoop::after(absl::Duration delay, std::function<void()> callback)
{
    const Key key{this->now() + delay, this->nextId++};
    this->timers.emplace(key, std::move(callback));
    this->arm();
    return {this, key};
}

void EventLoop::post(std::function<void()> callback)
{
    asio::post(this->io->context, std::move(callback));
}

void EventLoop::run()
{
    const auto work = asio::make_work_guard(this->io->context);
    this->io->context.run();
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
    // The alarm stays armed: most timers are cancelled, and an early wake-up only arms it again.
    this->timers.erase(key);
}

bool EventLoop::contains(const Key &key) const
{
    return this->timers.contains(key);
}

void EventLoop::arm()
{
    if (this->timers.empty() || this->timers.begin()->first.first >= this->armedFor) {
        return;
    }
    this->armedFor = this->timers.begin()->first.first;
    this->io->alarm.expires_at(this->startSteady + absl::ToChronoNanoseconds(this->armedFor - this->startTime));
    this->io->alarm.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            this->runDue();
        }
    });
}

void EventLoop::runDue()
{
    this->armedFor = absl::InfiniteFuture();
    const absl::Time time = this->now();
    while (!this->timers.empty() && this->timers.begin()->first.first <= time) {
        const auto timer = this->timers.extract(this->timers.begin());
        timer.mapped()();
    }
    this->arm();
}

} // namespace Bergamotramp
