#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <vector>

#include <absl/time/time.h>

namespace Bergamotramp {

/** Token bucket that limits the bytes per second of a route or a group of routes in one direction. Not thread-safe. */
class ProxyRateLimiter
{
public:
    /** 0 removes the limit. */
    void setRate(std::int64_t bytesPerSecond);
    /** Number of bytes that may be sent now. */
    std::size_t allowance(absl::Time now);
    void consume(std::size_t bytes);
    /** Time at which the next burst may be sent. */
    [[nodiscard]] absl::Time readyAt(absl::Time now) const;

private:
    double bytesPerSecond = 0;
    double tokens = 0;
    absl::Time lastRefill = absl::InfinitePast();
};

/** Forwards one direction of a proxied connection. Bytes are buffered until their delay is over and the rate limits allow them. Not thread-safe. */
class ProxyForwarder
{
public:
    ProxyForwarder(int source, int sink);

    /** Whether more bytes may be read from the source. */
    [[nodiscard]] bool wantsInput() const;
    /**
     * Reads available bytes from the source, to be sent at @p due; returns false when the connection has failed.
     * @p received is set to whether there were any.
     */
    bool readInput(absl::Time due, bool &received);
    /** Sends the bytes that are due; returns false when the connection has failed. */
    bool flush(absl::Time now, const std::vector<ProxyRateLimiter *> &limiters);
    /** When flush() can send more; the infinite future while it waits for input or for the sink to accept bytes. */
    [[nodiscard]] absl::Time nextFlush(absl::Time now, const std::vector<ProxyRateLimiter *> &limiters) const;
    /** Whether the sink's send buffer is full. */
    [[nodiscard]] bool isBlocked() const;
    void unblock();
    /** Whether the end of the source's stream has been forwarded. */
    [[nodiscard]] bool isFinished() const;
    /** Bytes sent since the last call. */
    std::size_t takeSentBytes();

private:
    struct Chunk {
        absl::Time due;
        std::string bytes;
    };

    bool sendFront(std::size_t allowance, const std::vector<ProxyRateLimiter *> &limiters);

    int source;
    int sink;
    std::deque<Chunk> queue;
    std::size_t bufferedBytes = 0;
    std::size_t sentBytes = 0;
    bool sourceEnded = false;
    absl::Time endOfInputDue;
    bool endForwarded = false;
    bool sinkBlocked = false;
};

} // namespace Bergamotramp
