#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>

#include <absl/time/time.h>

namespace Bergamotramp {

/** Speed of the engine's stand-in. */
struct EngineSpeed {
    std::int64_t slots = 8;
    /** Time between the tokens of a stream that runs alone. */
    absl::Duration tokenInterval = absl::Milliseconds(5);
    /** Share of the token interval that each further running stream adds. */
    double growth = 0.05;
    /** Time for each byte of the prompt that is not in the prefix cache. */
    absl::Duration promptByte = absl::Microseconds(20);
    /** Multiplies all times. */
    double slowFactor = 1.0;

    bool operator==(const EngineSpeed &) const = default;
};

/** What the engine reports as its load. */
struct EngineLoad {
    std::int64_t running = 0;
    std::int64_t waiting = 0;

    bool operator==(const EngineLoad &) const = default;
};

/** Slots, queue and token pace of the engine's stand-in: first come, first served, with no notion of priority. Thread-safe. */
class EngineScheduler
{
public:
    /** Whether the client of a waiting request has gone. */
    using Gone = std::function<bool()>;

    explicit EngineScheduler(EngineSpeed speed);

    /** Waits for a slot; false when the client has gone or the engine stops. */
    bool admit(const Gone &gone);
    void release();
    /** Time of the next token of a stream whose last one was due at @p previous. */
    absl::Time nextToken(absl::Time previous);
    /** Time the prompt takes until the first token. */
    absl::Duration promptTime(std::size_t uncachedBytes);
    /** Waits until @p due; false when the client has gone or the engine stops. */
    bool waitUntil(absl::Time due, const Gone &gone);

    void change(const std::function<void(EngineSpeed &)> &update);
    [[nodiscard]] EngineSpeed current();
    /** The load as it was at @p time. */
    EngineLoad loadAt(absl::Time time);
    std::int64_t maxRunning();
    /** Ends all waits. */
    void stop();

private:
    void recordLoad();

    std::mutex mutex;
    std::condition_variable wake;
    EngineSpeed speed;
    std::deque<std::uint64_t> queue;
    std::uint64_t lastTicket = 0;
    std::int64_t running = 0;
    std::int64_t peak = 0;
    bool stopping = false;
    std::deque<std::pair<absl::Time, EngineLoad>> history;
};

} // namespace Bergamotramp
