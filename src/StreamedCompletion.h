#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "SseReader.h"

namespace Bergamotramp {

/** Collects the text of a streamed completion as a caller receives it. */
class StreamedCompletion
{
public:
    /** @p onText takes each non-empty text as it arrives. */
    explicit StreamedCompletion(std::function<void(std::string_view)> onText);
    StreamedCompletion(const StreamedCompletion &) = delete;
    StreamedCompletion &operator=(const StreamedCompletion &) = delete;

    void feed(std::string_view bytes);

    /** Whether the end marker has arrived without an error; otherwise the answer is incomplete. */
    [[nodiscard]] bool complete() const;
    [[nodiscard]] const std::string &text() const;
    /** The JSON text of an error event; empty when there was none. */
    [[nodiscard]] const std::string &error() const;

private:
    void takeEvent(std::string_view data);

    std::function<void(std::string_view)> onText;
    SseReader events;
    bool ended = false;
    std::string collected;
    std::string failure;
};

} // namespace Bergamotramp
