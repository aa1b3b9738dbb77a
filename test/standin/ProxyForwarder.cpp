#include "ProxyForwarder.h"

#include <algorithm>
#include <cerrno>
#include <limits>
#include <utility>

#include <sys/socket.h>

namespace Bergamotramp {

namespace {

constexpr std::size_t maxBufferedBytes = 256 * 1024;
constexpr std::size_t readSize = 16 * 1024;
// A bucket holds the bytes of burstSeconds or one packet, whichever are more; a wait is for whichever are fewer, which limits the wake-ups for a slow route.
constexpr double packetBytes = 1500;
constexpr double burstSeconds = 0.02;

bool isTransient(int error)
{
    return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
}

} // namespace

void ProxyRateLimiter::setRate(std::int64_t bytesPerSecond)
{
    this->bytesPerSecond = static_cast<double>(bytesPerSecond);
    this->tokens = 0;
    this->lastRefill = absl::InfinitePast();
}

std::size_t ProxyRateLimiter::allowance(absl::Time now)
{
    if (this->bytesPerSecond <= 0) {
        return std::numeric_limits<std::size_t>::max();
    }
    const double elapsed = this->lastRefill == absl::InfinitePast() ? 0.0 : absl::ToDoubleSeconds(now - this->lastRefill);
    this->lastRefill = now;
    this->tokens = std::min(std::max(packetBytes, this->bytesPerSecond * burstSeconds), this->tokens + elapsed * this->bytesPerSecond);
    return this->tokens >= 1.0 ? static_cast<std::size_t>(this->tokens) : 0;
}

void ProxyRateLimiter::consume(std::size_t bytes)
{
    this->tokens -= this->bytesPerSecond > 0 ? static_cast<double>(bytes) : 0.0;
}

absl::Time ProxyRateLimiter::readyAt(absl::Time now) const
{
    if (this->bytesPerSecond <= 0 || this->tokens >= 1.0) {
        return now;
    }
    return now + absl::Seconds(std::min(packetBytes, this->bytesPerSecond * burstSeconds) / this->bytesPerSecond);
}

ProxyForwarder::ProxyForwarder(int source, int sink) : source(source), sink(sink)
{
}

bool ProxyForwarder::wantsInput() const
{
    return !this->sourceEnded && this->bufferedBytes < maxBufferedBytes;
}

bool ProxyForwarder::readInput(absl::Time due, bool &received)
{
    std::string bytes(readSize, '\0');
    const ssize_t count = ::recv(this->source, bytes.data(), bytes.size(), 0);
    received = count > 0;
    if (count < 0) {
        return isTransient(errno);
    }
    if (count == 0) {
        this->sourceEnded = true;
        this->endOfInputDue = due;
        return true;
    }
    bytes.resize(static_cast<std::size_t>(count));
    this->bufferedBytes += bytes.size();
    this->queue.push_back({due, std::move(bytes)});
    return true;
}

bool ProxyForwarder::flush(absl::Time now, const std::vector<ProxyRateLimiter *> &limiters)
{
    while (!this->sinkBlocked && !this->queue.empty() && this->queue.front().due <= now) {
        std::size_t allowance = std::numeric_limits<std::size_t>::max();
        for (ProxyRateLimiter *limiter : limiters) {
            allowance = std::min(allowance, limiter->allowance(now));
        }
        if (allowance == 0) {
            return true;
        }
        if (!this->sendFront(allowance, limiters)) {
            return false;
        }
    }
    if (this->sourceEnded && !this->endForwarded && this->queue.empty() && this->endOfInputDue <= now) {
        this->endForwarded = true;
        ::shutdown(this->sink, SHUT_WR);
    }
    return true;
}

bool ProxyForwarder::sendFront(std::size_t allowance, const std::vector<ProxyRateLimiter *> &limiters)
{
    std::string &bytes = this->queue.front().bytes;
    const ssize_t count = ::send(this->sink, bytes.data(), std::min(bytes.size(), allowance), MSG_NOSIGNAL);
    if (count < 0) {
        this->sinkBlocked = isTransient(errno);
        return this->sinkBlocked;
    }
    const auto accepted = static_cast<std::size_t>(count);
    for (ProxyRateLimiter *limiter : limiters) {
        limiter->consume(accepted);
    }
    this->bufferedBytes -= accepted;
    this->sentBytes += accepted;
    if (accepted == bytes.size()) {
        this->queue.pop_front();
    } else {
        bytes.erase(0, accepted);
    }
    return true;
}

absl::Time ProxyForwarder::nextFlush(absl::Time now, const std::vector<ProxyRateLimiter *> &limiters) const
{
    if (this->sinkBlocked || this->endForwarded || (this->queue.empty() && !this->sourceEnded)) {
        return absl::InfiniteFuture();
    }
    absl::Time next = this->queue.empty() ? this->endOfInputDue : this->queue.front().due;
    for (const ProxyRateLimiter *limiter : limiters) {
        next = std::max(next, limiter->readyAt(now));
    }
    return next;
}

bool ProxyForwarder::isBlocked() const
{
    return this->sinkBlocked;
}

void ProxyForwarder::unblock()
{
    this->sinkBlocked = false;
}

bool ProxyForwarder::isFinished() const
{
    return this->endForwarded;
}

std::size_t ProxyForwarder::takeSentBytes()
{
    return std::exchange(this->sentBytes, 0);
}

} // namespace Bergamotramp
