#include "StreamedCompletion.h"

#include "ModelAnswer.h"

namespace Bergamotramp {

StreamedCompletion::StreamedCompletion(std::function<void(std::string_view)> onText)
    : onText(std::move(onText)), events([this](std::string_view data) { this->takeEvent(data); })
{
}

void StreamedCompletion::feed(std::string_view bytes)
{
    this->events.feed(bytes);
}

void StreamedCompletion::takeEvent(std::string_view data)
{
    if (data == sseEndMarker) {
        this->ended = true;
        return;
    }
    const nlohmann::json json = nlohmann::json::parse(data, nullptr, false);
    if (!json.is_object() || json.contains("error")) {
        this->failure = std::string(data);
        return;
    }
    try {
        const std::string text = ModelAnswer::textOf(ModelInterface::Completions, data);
        this->collected += text;
        if (!text.empty()) {
            this->onText(text);
        }
    } catch (const nlohmann::json::exception &) {
        this->failure = std::string(data);
    }
}

bool StreamedCompletion::complete() const
{
    return this->ended && this->failure.empty();
}

const std::string &StreamedCompletion::text() const
{
    return this->collected;
}

const std::string &StreamedCompletion::error() const
{
    return this->failure;
}

} // namespace Bergamotramp
