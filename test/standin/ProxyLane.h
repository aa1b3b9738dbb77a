#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <vector>

#include <absl/time/time.h>

namespace Bergamotramp {

/** Limit of bytes a second of a route or of a group of routes, in one direction. Not thread-safe. */
class ProxyPace
{
public:
    /** 0 removes the limit. */
    void set(std::int64_t bytesPerSecond);
    /** Bytes that may pass now. */
    std::size_t allowance(absl::Time now);
    void take(std::size_t bytes);
    /** When the next bytes may pass. */
    [[nodiscard]] absl::Time ready(absl::Time now) const;

private:
    double bytesPerSecond = 0;
    double tokens = 0;
    absl::Time refilled = absl::InfinitePast();
};

/** One direction of a proxied connection: bytes wait in it for their delay and for the pace. Not thread-safe. */
class ProxyLane
{
public:
    ProxyLane(int source, int sink);

    /** Whether more bytes may be read from the source. */
    [[nodiscard]] bool wantsInput() const;
    /** Reads what the source has; false when the connection failed. @p received tells whether bytes came. */
    bool readInput(absl::Time due, bool &received);
    /** Sends what is due; false when the connection failed. */
    bool flush(absl::Time now, const std::vector<ProxyPace *> &paces);
    /** When flush() can go on; the infinite future when it waits for input or for the sink. */
    [[nodiscard]] absl::Time nextFlush(absl::Time now, const std::vector<ProxyPace *> &paces) const;
    /** Whether the sink takes no more bytes for now. */
    [[nodiscard]] bool isBlocked() const;
    void unblock();
    /** Whether the source's end has been passed on. */
    [[nodiscard]] bool isFinished() const;
    /** Bytes sent since the last call. */
    std::size_t takeSent();

private:
    struct Chunk {
        absl::Time due;
        std::string bytes;
    };

    bool sendFront(std::size_t allowance, const std::vector<ProxyPace *> &paces);

    int source;
    int sink;
    std::deque<Chunk> queue;
    std::size_t buffered = 0;
    std::size_t sent = 0;
    bool ended = false;
    absl::Time endDue;
    bool finished = false;
    bool blocked = false;
};

} // namespace Bergamotramp
