#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace Bergamotramp {

/** One server-sent event. Ids that are not numbers are ignored. */
struct StreamEvent {
    std::optional<std::uint64_t> id;
    /** Data lines, joined by line feeds. */
    std::string data;
    /** The bytes of the event as they were sent, including the empty line that ends it. */
    std::string frame;

    bool operator==(const StreamEvent &) const = default;
};

/** Splits a response body into complete server-sent events; an incomplete event at its end is never reported. Unlike SseReader, keeps ids and frames. */
class EventStreamParser
{
public:
    /** Size limit of one event, in bytes as sent. */
    static constexpr std::size_t maxEventBytes = 1024 * 1024;

    explicit EventStreamParser(std::function<void(StreamEvent)> onEvent);

    /** Returns false when the current event exceeds maxEventBytes; the body is then no event stream, and nothing more is reported. */
    bool feed(std::string_view bytes);
    /** Whether all bytes so far belong to complete events. */
    [[nodiscard]] bool atBoundary() const;

private:
    void parseLine(std::string_view line);

    std::function<void(StreamEvent)> onEvent;
    StreamEvent currentEvent;
    bool hasData = false;
    bool oversized = false;
    std::size_t lineStart = 0;
};

} // namespace Bergamotramp
