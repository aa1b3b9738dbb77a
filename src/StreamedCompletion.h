#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "SseReader.h"

namespace Bergamotramp {

/** Parses the event stream of a completion and collects its text. */
class StreamedCompletion
{
public:
    /** @p onText receives each non-empty piece of text as it arrives. */
    explicit StreamedCompletion(std::function<void(std::string_view)> onText);
    StreamedCompletion(const StreamedCompletion &) = delete;
    StreamedCompletion &operator=(const StreamedCompletion &) = delete;

    void feed(std::string_view bytes);

    /** Whether the end marker has arrived and no error; otherwise the response is incomplete. */
    [[nodiscard]] bool complete() const;
    [[nodiscard]] const std::string &text() const;
    /** The data of an error event or of an event that can't be parsed; empty when there was none. */
    [[nodiscard]] const std::string &error() const;

private:
    void handleEvent(std::string_view data);

    std::function<void(std::string_view)> onText;
    SseReader eventReader;
    bool endMarkerSeen = false;
    std::string collectedText;
    std::string errorData;
};

} // namespace Bergamotramp
