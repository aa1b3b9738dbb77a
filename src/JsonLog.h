#pragma once

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

#include <absl/strings/string_view.h>
#include <absl/time/time.h>

#include "EventLoop.h"

namespace Bergamotramp {

/** One field of a log line; the value is a string, a number or a boolean. */
class LogField
{
public:
    LogField(std::string_view name, std::string_view value);
    LogField(std::string_view name, const char *value);
    LogField(std::string_view name, const std::string &value);
    LogField(std::string_view name, std::int64_t value);
    LogField(std::string_view name, std::uint64_t value);
    LogField(std::string_view name, int value);
    LogField(std::string_view name, bool value);
    LogField(std::string_view name, double value);
    /** Logs @p value as a whole number of milliseconds. */
    LogField(std::string_view name, absl::Duration value);

    /** Appends ,"name":value to @p line. */
    void appendTo(std::string &line) const;

private:
    std::string_view name;
    std::string text;
    bool quoted = false;
};

/**
 * Structured log of a daemon, written to a file descriptor with one JSON object per line. Lines are buffered and written in batches.
 * Writing never blocks the daemon: when the descriptor is not read and the buffer is full, further lines are dropped and counted.
 */
class JsonLog
{
public:
    /** Size of the buffered lines, in bytes, above which further lines are dropped. */
    static constexpr std::size_t maxPendingBytes = 256 * 1024;
    static constexpr absl::Duration flushPeriod = absl::Milliseconds(100);

    JsonLog(EventLoop &loop, std::string host, int descriptor);

    /** Buffers a line with the time in microseconds since the Unix epoch, the host, @p event and @p fields. */
    void write(std::string_view event, std::initializer_list<LogField> fields);
    /** Writes the buffered lines as far as that does not block; the rest is retried after flushPeriod. */
    void flush();
    [[nodiscard]] std::uint64_t droppedLines() const;

private:
    EventLoop &loop;
    std::string host;
    int descriptor;
    std::string pending;
    std::uint64_t dropped = 0;
    std::uint64_t reportedDropped = 0;
    LoopTimer timer;
};

} // namespace Bergamotramp
