#include "TimerService.h"

#include <chrono>
#include <utility>

#include <absl/time/clock.h>

namespace Bergamotramp {

TimerSubscription::TimerSubscription(TimerService *service, std::uint64_t id) : service(service), id(id)
{
}

TimerSubscription::TimerSubscription(TimerSubscription &&other) noexcept : service(std::exchange(other.service, nullptr)), id(std::exchange(other.id, 0))
{
}

TimerSubscription &TimerSubscription::operator=(TimerSubscription &&other) noexcept
{
    if (this != &other) {
        this->cancel();
        this->service = std::exchange(other.service, nullptr);
        this->id = std::exchange(other.id, 0);
    }
    return *this;
}

TimerSubscription::~TimerSubscription()
{
    this->cancel();
}

void TimerSubscription::cancel()
{
    if (this->service != nullptr) {
        std::exchange(this->service, nullptr)->cancel(this->id);
    }
}

TimerService::TimerService() : thread([this] { this->run(); })
{
}

TimerService::~TimerService()
{
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->stopping = true;
    }
    this->changed.notify_all();
    this->thread.join();
}

TimerSubscription TimerService::every(absl::Duration period, std::function<void()> callback)
{
    return this->add(period, period, std::move(callback));
}

TimerSubscription TimerService::after(absl::Duration delay, std::function<void()> callback)
{
    return this->add(delay, absl::InfiniteDuration(), std::move(callback));
}

TimerSubscription TimerService::add(absl::Duration delay, absl::Duration period, std::function<void()> callback)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    const std::uint64_t id = this->nextId++;
    this->timers.emplace(id, Timer{period, std::make_shared<std::function<void()>>(std::move(callback))});
    this->schedule.emplace(absl::Now() + delay, id);
    this->changed.notify_all();
    return {this, id};
}

void TimerService::cancel(std::uint64_t id)
{
    std::unique_lock<std::mutex> lock(this->mutex);
    this->timers.erase(id);
    // A callback may cancel its own timer; waiting for the callback on the timer thread would deadlock.
    if (std::this_thread::get_id() != this->thread.get_id()) {
        this->changed.wait(lock, [this, id] { return this->runningId != id; });
    }
}

void TimerService::run()
{
    std::unique_lock<std::mutex> lock(this->mutex);
    while (!this->stopping) {
        if (this->schedule.empty()) {
            this->changed.wait(lock);
            continue;
        }
        const absl::Duration wait = this->schedule.begin()->first - absl::Now();
        if (wait > absl::ZeroDuration()) {
            this->changed.wait_for(lock, absl::ToChronoMicroseconds(wait) + std::chrono::microseconds(1));
            continue;
        }
        this->runDueTimer(lock);
    }
}

void TimerService::runDueTimer(std::unique_lock<std::mutex> &lock)
{
    const std::uint64_t id = this->schedule.begin()->second;
    this->schedule.erase(this->schedule.begin());
    const auto found = this->timers.find(id);
    if (found == this->timers.end()) {
        return;
    }
    const std::shared_ptr<std::function<void()>> callback = found->second.callback;
    const absl::Duration period = found->second.period;
    if (period == absl::InfiniteDuration()) {
        this->timers.erase(found);
    }
    this->runningId = id;
    lock.unlock();
    (*callback)();
    lock.lock();
    this->runningId = 0;
    if (this->timers.contains(id)) {
        this->schedule.emplace(absl::Now() + period, id);
    }
    this->changed.notify_all();
}

} // namespace Bergamotramp
