#include "EngineScheduler.h"

#include <algorithm>
#include <chrono>

#include <absl/time/clock.h>

namespace Bergamotramp {

namespace {

// A waiting request notices within this time that its client has disconnected.
constexpr absl::Duration pollPeriod = absl::Milliseconds(10);
// A stream that is late by more than this sends no burst of tokens to make up for the excess.
constexpr absl::Duration maxCatchUp = absl::Milliseconds(50);
// Load samples are kept for the longest delay that the load report can have.
constexpr absl::Duration maxLoadLag = absl::Seconds(30);

} // namespace

EngineScheduler::EngineScheduler(EngineSpeed speed) : speed(speed)
{
}

bool EngineScheduler::acquireSlot(const ClientGone &clientGone)
{
    std::unique_lock<std::mutex> lock(this->mutex);
    const std::uint64_t ticket = ++this->lastTicket;
    this->waitingTickets.push_back(ticket);
    this->recordLoad();
    while (this->waitingTickets.front() != ticket || this->running >= this->speed.slots) {
        this->wake.wait_for(lock, absl::ToChronoMilliseconds(pollPeriod));
        if (this->stopping || clientGone()) {
            std::erase(this->waitingTickets, ticket);
            this->recordLoad();
            this->wake.notify_all();
            return false;
        }
    }
    this->waitingTickets.pop_front();
    ++this->running;
    this->peakRunning = std::max(this->peakRunning, this->running);
    this->recordLoad();
    this->wake.notify_all();
    return !this->stopping;
}

void EngineScheduler::releaseSlot()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    --this->running;
    this->recordLoad();
    this->wake.notify_all();
}

absl::Time EngineScheduler::nextTokenTime(absl::Time previous)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    const double loadFactor = 1.0 + this->speed.slowdownPerStream * static_cast<double>(std::max<std::int64_t>(this->running - 1, 0));
    return std::max(previous, absl::Now() - maxCatchUp) + this->speed.tokenInterval * (loadFactor * this->speed.slowFactor);
}

absl::Duration EngineScheduler::promptTime(std::size_t uncachedBytes)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->speed.promptByteTime * (static_cast<double>(uncachedBytes) * this->speed.slowFactor);
}

bool EngineScheduler::waitUntil(absl::Time due, const ClientGone &clientGone)
{
    for (absl::Time now = absl::Now(); now < due; now = absl::Now()) {
        absl::SleepFor(std::min(pollPeriod, due - now));
        const std::lock_guard<std::mutex> lock(this->mutex);
        if (this->stopping || clientGone()) {
            return false;
        }
    }
    return true;
}

void EngineScheduler::updateSpeed(const std::function<void(EngineSpeed &)> &update)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    update(this->speed);
    this->wake.notify_all();
}

EngineSpeed EngineScheduler::currentSpeed()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->speed;
}

EngineLoad EngineScheduler::loadAt(absl::Time time)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    const auto sample = std::find_if(this->loadHistory.rbegin(), this->loadHistory.rend(), [time](const auto &entry) { return entry.first <= time; });
    return sample == this->loadHistory.rend() ? EngineLoad{} : sample->second;
}

std::int64_t EngineScheduler::maxRunning()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->peakRunning;
}

void EngineScheduler::stop()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->stopping = true;
    this->wake.notify_all();
}

void EngineScheduler::recordLoad()
{
    this->loadHistory.emplace_back(absl::Now(), EngineLoad{this->running, static_cast<std::int64_t>(this->waitingTickets.size())});
    while (this->loadHistory.size() > 1 && this->loadHistory[1].first < absl::Now() - maxLoadLag) {
        this->loadHistory.pop_front();
    }
}

} // namespace Bergamotramp
