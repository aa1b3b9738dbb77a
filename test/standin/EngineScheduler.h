#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>

#include <absl/time/time.h>

namespace Bergamotramp {

/** Number of slots and speed of the model engine's stand-in. */
struct EngineSpeed {
    std::int64_t slots = 8;
    /** Time between the tokens of a stream that runs alone. */
    absl::Duration tokenInterval = absl::Milliseconds(5);
    /** Each running stream beyond the first lengthens the token interval by this fraction of it. */
    double slowdownPerStream = 0.05;
    /** Processing time per byte of the prompt that is not in the prefix cache. */
    absl::Duration promptByteTime = absl::Microseconds(20);
    /** Multiplies the token interval and the processing time of prompts. */
    double slowFactor = 1.0;

    bool operator==(const EngineSpeed &) const = default;
};

/** Numbers of running and waiting requests that the engine reports as its load. */
struct EngineLoad {
    std::int64_t running = 0;
    std::int64_t waiting = 0;

    bool operator==(const EngineLoad &) const = default;
};

/** Slots, queue and token rate of the model engine's stand-in. Requests get slots in order of arrival, without priorities. Thread-safe. */
class EngineScheduler
{
public:
    /** Whether the client of the request has closed its connection. */
    using ClientGone = std::function<bool()>;

    explicit EngineScheduler(EngineSpeed speed);

    /** Waits for a slot; returns false when the client disconnects or the engine stops. */
    bool acquireSlot(const ClientGone &clientGone);
    void releaseSlot();
    /** Time of a stream's next token when the last one was due at @p previous. */
    absl::Time nextTokenTime(absl::Time previous);
    /** Time to process a prompt with @p uncachedBytes outside the prefix cache, before the first token. */
    absl::Duration promptTime(std::size_t uncachedBytes);
    /** Waits until @p due; returns false when the client disconnects or the engine stops. */
    bool waitUntil(absl::Time due, const ClientGone &clientGone);

    void updateSpeed(const std::function<void(EngineSpeed &)> &update);
    [[nodiscard]] EngineSpeed currentSpeed();
    /** The load at @p time, which is at most 30 seconds ago. */
    EngineLoad loadAt(absl::Time time);
    std::int64_t maxRunning();
    /** Makes all waiting calls return false. */
    void stop();

private:
    void recordLoad();

    std::mutex mutex;
    std::condition_variable wake;
    EngineSpeed speed;
    std::deque<std::uint64_t> waitingTickets;
    std::uint64_t lastTicket = 0;
    std::int64_t running = 0;
    std::int64_t peakRunning = 0;
    bool stopping = false;
    std::deque<std::pair<absl::Time, EngineLoad>> loadHistory;
};

} // namespace Bergamotramp
