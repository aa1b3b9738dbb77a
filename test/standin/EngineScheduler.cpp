#include "EngineScheduler.h"

#include <algorithm>
#include <chrono>

#include <absl/time/clock.h>

namespace Bergamotramp {

namespace {

// Bounds how late the end of a client's connection is noticed.
constexpr absl::Duration pollPeriod = absl::Milliseconds(10);
// A stream that fell behind its pace by more than this doesn't catch up in a burst.
constexpr absl::Duration maxCatchUp = absl::Milliseconds(50);
// Load samples are kept for the longest lag of the load report.
constexpr absl::Duration maxLag = absl::Seconds(30);

} // namespace

EngineScheduler::EngineScheduler(EngineSpeed speed) : speed(speed)
{
}

bool EngineScheduler::admit(const Gone &gone)
{
    std::unique_lock<std::mutex> lock(this->mutex);
    const std::uint64_t ticket = ++this->lastTicket;
    this->queue.push_back(ticket);
    this->recordLoad();
    while (this->queue.front() != ticket || this->running >= this->speed.slots) {
        this->wake.wait_for(lock, absl::ToChronoMilliseconds(pollPeriod));
        if (this->stopping || gone()) {
            std::erase(this->queue, ticket);
            this->recordLoad();
            this->wake.notify_all();
            return false;
        }
    }
    this->queue.pop_front();
    ++this->running;
    this->peak = std::max(this->peak, this->running);
    this->recordLoad();
    this->wake.notify_all();
    return !this->stopping;
}

void EngineScheduler::release()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    --this->running;
    this->recordLoad();
    this->wake.notify_all();
}

absl::Time EngineScheduler::nextToken(absl::Time previous)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    const double crowd = 1.0 + this->speed.growth * static_cast<double>(std::max<std::int64_t>(this->running - 1, 0));
    return std::max(previous, absl::Now() - maxCatchUp) + this->speed.tokenInterval * (crowd * this->speed.slowFactor);
}

absl::Duration EngineScheduler::promptTime(std::size_t uncachedBytes)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->speed.promptByte * (static_cast<double>(uncachedBytes) * this->speed.slowFactor);
}

bool EngineScheduler::waitUntil(absl::Time due, const Gone &gone)
{
    for (absl::Time now = absl::Now(); now < due; now = absl::Now()) {
        absl::SleepFor(std::min(pollPeriod, due - now));
        const std::lock_guard<std::mutex> lock(this->mutex);
        if (this->stopping || gone()) {
            return false;
        }
    }
    return true;
}

void EngineScheduler::change(const std::function<void(EngineSpeed &)> &update)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    update(this->speed);
    this->wake.notify_all();
}

EngineSpeed EngineScheduler::current()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->speed;
}

EngineLoad EngineScheduler::loadAt(absl::Time time)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    const auto sample = std::find_if(this->history.rbegin(), this->history.rend(), [time](const auto &entry) { return entry.first <= time; });
    return sample == this->history.rend() ? EngineLoad{} : sample->second;
}

std::int64_t EngineScheduler::maxRunning()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->peak;
}

void EngineScheduler::stop()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->stopping = true;
    this->wake.notify_all();
}

void EngineScheduler::recordLoad()
{
    this->history.emplace_back(absl::Now(), EngineLoad{this->running, static_cast<std::int64_t>(this->queue.size())});
    while (this->history.size() > 1 && this->history[1].first < absl::Now() - maxLag) {
        this->history.pop_front();
    }
}

} // namespace Bergamotramp
