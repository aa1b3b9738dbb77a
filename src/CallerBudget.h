#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include <absl/time/time.h>

namespace Bergamotramp {

/** Who connects to an address of the host. Each class has its own part of the budget, so that one class can't use up another's. */
enum class CallerClass {
    /** Entry, directory and metrics. */
    Caller,
    /** Other hosts, at the control address. */
    Host,
    /** Checks of the readiness. */
    Check,
};

/** The limit for which a caller was refused or disconnected. */
enum class CallerLimit {
    /** Connections of the class, or of one address. */
    Connections,
    /** A body that was refused before it was read. */
    BodyRefused,
    /** Bytes held for all connections of the class. */
    Bytes,
    /** The least rate of bodies and of reading answers. */
    Rate,
};

/** Name of the limit for logs and metrics. */
const char *callerLimitName(CallerLimit limit);

/** Limits of one class of callers. */
struct CallerLimits {
    std::size_t bytes = 0;
    std::size_t connections = 0;
    /** Connections of one address. */
    std::size_t connectionsPerAddress = 0;

    /** Derives the limits of @p callerClass from the settings; 0 for a value that is not known. */
    static CallerLimits derive(CallerClass callerClass, std::int64_t memoryMb, std::int64_t maxDescriptors);

    bool operator==(const CallerLimits &) const = default;
};

/** Bytes that a connection has moved in the last one to two periods. */
class RecentProgress
{
public:
    explicit RecentProgress(absl::Duration period, absl::Time now);

    void add(std::size_t bytes, absl::Time now);
    [[nodiscard]] std::size_t bytes(absl::Time now) const;

private:
    absl::Duration period;
    absl::Time periodStart;
    std::size_t current = 0;
    std::size_t previous = 0;
};

/** Least rate at which a body is sent or an answer is read. A rate is judged over whole windows only. */
class LeastRate
{
public:
    /** Longer than twice the usual idle timeout, so that a caller whose link is down for that long is not disconnected. */
    static constexpr absl::Duration window = absl::Seconds(30);
    /** Bytes that have to move in each window. A phone at 2 KB/s moves twenty times as much. */
    static constexpr std::size_t minBytes = 3'000;

    /** Begins a window, at the start of a body or when bytes of an answer begin to wait. */
    void start(absl::Time now);
    /** Ends the judgement: nothing is waited for. */
    void stop();
    [[nodiscard]] bool active() const;
    void add(std::size_t bytes);
    /** Whether a window has ended with too few bytes. A window that had enough is followed by the next one. */
    bool tooSlow(absl::Time now);

private:
    absl::Time windowStart = absl::InfiniteFuture();
    std::size_t moved = 0;
};

/** One budget of bytes and connections for all callers of a process. Decides who is refused, and who is closed for the others. */
class CallerBudget
{
public:
    using Id = std::uint64_t;

    /** @p report is called for a limited number of the refusals and closures, with the number left out since the last call. */
    using Report = std::function<void(CallerLimit limit, const std::string &address, std::uint64_t leftOut)>;

    CallerBudget(std::int64_t memoryMb, std::int64_t maxDescriptors, Report report);

    /**
     * Registers a connection from @p address (without a port), or returns 0 if it has to be refused. When the class is full, the
     * connection that has waited longest without a request in progress is closed for it. @p close closes the connection; it may
     * call closed() and is called at most once.
     */
    Id open(CallerClass callerClass, const std::string &address, absl::Time now, std::function<void(CallerLimit)> close);
    void closed(Id id);
    /** Closes the connection of the class that waits without a request, for a descriptor; returns whether there was one. */
    bool closeIdlest(CallerClass callerClass, absl::Time now);

    /**
     * Sets what is held for the connection. @p closable is whether the host may close it without a loss to a caller that sends and reads at the least rate:
     * the request has not been received completely, or its answer waits for the caller. Closes connections while the class is over
     * its bytes.
     */
    void hold(Id id, std::size_t bytes, bool closable, absl::Time now);
    /** Records that the caller sent or read @p bytes. */
    void moved(Id id, std::size_t bytes, absl::Time now);
    /** Whether a body of @p bytes may be read. Closes connections that have stopped in the middle to make room. */
    bool admitBody(Id id, std::size_t bytes, absl::Time now);
    /** Counts and reports that a connection was closed for its rate. */
    void reportSlow(Id id, absl::Time now);

    [[nodiscard]] std::size_t bytes(CallerClass callerClass) const;
    [[nodiscard]] std::size_t connections(CallerClass callerClass) const;
    /** Number of refusals and closures for this limit. */
    [[nodiscard]] std::uint64_t count(CallerLimit limit) const;

private:
    struct Connection {
        CallerClass callerClass = CallerClass::Caller;
        std::string address;
        std::function<void(CallerLimit)> close;
        std::size_t bytes = 0;
        bool closable = true;
        absl::Time lastMoved;
        RecentProgress progress;
    };
    struct Part {
        CallerLimits limits;
        std::size_t bytes = 0;
        std::size_t connections = 0;
        std::map<std::string, std::size_t> connectionsByAddress;
    };

    Part &part(CallerClass callerClass);
    [[nodiscard]] const Part &part(CallerClass callerClass) const;
    /** The connection that holds most for the least progress; 0 if none may be closed. */
    [[nodiscard]] Id highestBytesPerProgress(CallerClass callerClass, absl::Time now, bool stalledOnly) const;
    void close(Id id, CallerLimit limit, absl::Time now);
    void reportLimit(CallerLimit limit, const std::string &address, absl::Time now);

    std::array<Part, 3> parts;
    std::map<Id, Connection> registered;
    Id nextId = 1;
    Report report;
    std::array<std::uint64_t, 4> counts{};
    std::array<std::uint64_t, 4> leftOut{};
    std::array<absl::Time, 4> reportedAt;
};

} // namespace Bergamotramp
