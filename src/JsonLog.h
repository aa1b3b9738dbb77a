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

/** One field of a log line: text, a number or a truth value. */
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
    /** In milliseconds. */
    LogField(std::string_view name, absl::Duration value);

    void appendTo(std::string &line) const;

private:
    std::string_view name;
    std::string text;
    bool quoted = false;
};

/**
 * Structured log of a daemon on standard output, one JSON object a line. Lines are written together and never block the
 * daemon: when standard output isn't read, further lines are dropped and counted.
 */
class JsonLog
{
public:
    /** Lines that wait to be written, in bytes. */
    static constexpr std::size_t maxPendingBytes = 256 * 1024;
    static constexpr absl::Duration flushPeriod = absl::Milliseconds(100);

    JsonLog(EventLoop &loop, std::string host, int descriptor);

    void write(std::string_view event, std::initializer_list<LogField> fields);
    /** Writes what waits, as far as that does not block. */
    void flush();
    [[nodiscard]] std::uint64_t droppedLines() const;

private:
    EventLoop &loop;
    std::string host;
    int descriptor;
    std::string pending;
    std::uint64_t dropped = 0;
    std::uint64_t droppedReported = 0;
    LoopTimer timer;
};

} // namespace Bergamotramp
