#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace Bergamotramp {

/** Extracts the data of each event from a stream of server-sent events, whose bytes may arrive in pieces of any length. */
class SseReader
{
public:
    explicit SseReader(std::function<void(std::string_view)> onEvent);

    void feed(std::string_view bytes);

private:
    void parseLine(std::string_view line);

    std::function<void(std::string_view)> onEvent;
    std::string partialLine;
    std::string data;
};

/** Data of the event that marks the end of a complete answer. */
inline constexpr std::string_view sseEndMarker = "[DONE]";

/** Encodes @p data as one event. */
std::string sseFrame(std::string_view data);

} // namespace Bergamotramp
