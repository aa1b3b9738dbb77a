#include "ProxyLane.h"

#include <algorithm>
#include <cerrno>
#include <limits>
#include <utility>

#include <sys/socket.h>

namespace Bergamotramp {

namespace {

constexpr std::size_t maxBuffered = 256 * 1024;
constexpr std::size_t readSize = 16 * 1024;
// Bounds the wake-ups of a slow route; a packet's worth of bytes passes at a time.
constexpr double minBurst = 1500;
constexpr double burstSeconds = 0.02;

bool isTransient(int error)
{
    return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
}

} // namespace

void ProxyPace::set(std::int64_t bytesPerSecond)
{
    this->bytesPerSecond = static_cast<double>(bytesPerSecond);
    this->tokens = 0;
    this->refilled = absl::InfinitePast();
}

std::size_t ProxyPace::allowance(absl::Time now)
{
    if (this->bytesPerSecond <= 0) {
        return std::numeric_limits<std::size_t>::max();
    }
    const double elapsed = this->refilled == absl::InfinitePast() ? 0.0 : absl::ToDoubleSeconds(now - this->refilled);
    this->refilled = now;
    this->tokens = std::min(std::max(minBurst, this->bytesPerSecond * burstSeconds), this->tokens + elapsed * this->bytesPerSecond);
    return this->tokens >= 1.0 ? static_cast<std::size_t>(this->tokens) : 0;
}

void ProxyPace::take(std::size_t bytes)
{
    this->tokens -= this->bytesPerSecond > 0 ? static_cast<double>(bytes) : 0.0;
}

absl::Time ProxyPace::ready(absl::Time now) const
{
    if (this->bytesPerSecond <= 0 || this->tokens >= 1.0) {
        return now;
    }
    return now + absl::Seconds(std::min(minBurst, this->bytesPerSecond * burstSeconds) / this->bytesPerSecond);
}

ProxyLane::ProxyLane(int source, int sink) : source(source), sink(sink)
{
}

bool ProxyLane::wantsInput() const
{
    return !this->ended && this->buffered < maxBuffered;
}

bool ProxyLane::readInput(absl::Time due, bool &received)
{
    std::string bytes(readSize, '\0');
    const ssize_t count = ::recv(this->source, bytes.data(), bytes.size(), 0);
    received = count > 0;
    if (count < 0) {
        return isTransient(errno);
    }
    if (count == 0) {
        this->ended = true;
        this->endDue = due;
        return true;
    }
    bytes.resize(static_cast<std::size_t>(count));
    this->buffered += bytes.size();
    this->queue.push_back({due, std::move(bytes)});
    return true;
}

bool ProxyLane::flush(absl::Time now, const std::vector<ProxyPace *> &paces)
{
    while (!this->blocked && !this->queue.empty() && this->queue.front().due <= now) {
        std::size_t allowance = std::numeric_limits<std::size_t>::max();
        for (ProxyPace *pace : paces) {
            allowance = std::min(allowance, pace->allowance(now));
        }
        if (allowance == 0) {
            return true;
        }
        if (!this->sendFront(allowance, paces)) {
            return false;
        }
    }
    if (this->ended && !this->finished && this->queue.empty() && this->endDue <= now) {
        this->finished = true;
        ::shutdown(this->sink, SHUT_WR);
    }
    return true;
}

bool ProxyLane::sendFront(std::size_t allowance, const std::vector<ProxyPace *> &paces)
{
    std::string &bytes = this->queue.front().bytes;
    const ssize_t count = ::send(this->sink, bytes.data(), std::min(bytes.size(), allowance), MSG_NOSIGNAL);
    if (count < 0) {
        this->blocked = isTransient(errno);
        return this->blocked;
    }
    const auto accepted = static_cast<std::size_t>(count);
    for (ProxyPace *pace : paces) {
        pace->take(accepted);
    }
    this->buffered -= accepted;
    this->sent += accepted;
    if (accepted == bytes.size()) {
        this->queue.pop_front();
    } else {
        bytes.erase(0, accepted);
    }
    return true;
}

absl::Time ProxyLane::nextFlush(absl::Time now, const std::vector<ProxyPace *> &paces) const
{
    if (this->blocked || this->finished || (this->queue.empty() && !this->ended)) {
        return absl::InfiniteFuture();
    }
    absl::Time next = this->queue.empty() ? this->endDue : this->queue.front().due;
    for (const ProxyPace *pace : paces) {
        next = std::max(next, pace->ready(now));
    }
    return next;
}

bool ProxyLane::isBlocked() const
{
    return this->blocked;
}

void ProxyLane::unblock()
{
    this->blocked = false;
}

bool ProxyLane::isFinished() const
{
    return this->finished;
}

std::size_t ProxyLane::takeSent()
{
    return std::exchange(this->sent, 0);
}

} // namespace Bergamotramp
