#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace Bergamotramp {

/** One server-sent event. */
struct StreamEvent {
    std::optional<std::uint64_t> id;
    /** Data lines, joined by line feeds. */
    std::string data;
    /** The event as it was sent, with its empty line. */
    std::string frame;

    bool operator==(const StreamEvent &) const = default;
};

/** Splits a body into whole server-sent events; an event that was cut off is never reported. */
class EventStream
{
public:
    explicit EventStream(std::function<void(StreamEvent)> event);

    void feed(std::string_view bytes);
    /** Whether all bytes so far belong to whole events. */
    [[nodiscard]] bool atBoundary() const;

private:
    void takeLine(std::string_view line);

    std::function<void(StreamEvent)> event;
    StreamEvent current;
    bool hasData = false;
    std::size_t lineStart = 0;
};

} // namespace Bergamotramp
