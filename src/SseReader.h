#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace Bergamotramp {

/** Splits a stream of server-sent events into the data of its events, however the bytes are cut. */
class SseReader
{
public:
    explicit SseReader(std::function<void(std::string_view)> event);

    void feed(std::string_view bytes);

private:
    void takeLine(std::string_view line);

    std::function<void(std::string_view)> event;
    std::string partialLine;
    std::string data;
};

/** Data of the event that ends a complete answer. */
inline constexpr std::string_view sseEndMarker = "[DONE]";

/** Frames @p data as one event. */
std::string sseFrame(std::string_view data);

} // namespace Bergamotramp
