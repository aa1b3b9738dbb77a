#include "StreamedCompletion.h"

#include "ModelAnswer.h"

namespace Bergamotramp {

StreamedCompletion::StreamedCompletion(std::function<void(std::string_view)> onText)
    : onText(std::move(onText)), eventReader([this](std::string_view data) { this->handleEvent(data); })
{
}

void StreamedCompletion::feed(std::string_view bytes)
{
    this->eventReader.feed(bytes);
}

void StreamedCompletion::handleEvent(std::string_view data)
{
    if (data == sseEndMarker) {
        this->endMarkerSeen = true;
        return;
    }
    const nlohmann::json json = nlohmann::json::parse(data, nullptr, false);
    if (!json.is_object() || json.contains("error")) {
        this->errorData = std::string(data);
        return;
    }
    try {
        const std::string text = ModelAnswer::textOf(ModelInterface::Completions, data);
        this->collectedText += text;
        if (!text.empty()) {
            this->onText(text);
        }
    } catch (const nlohmann::json::exception &) {
        this->errorData = std::string(data);
    }
}

bool StreamedCompletion::complete() const
{
    return this->endMarkerSeen && this->errorData.empty();
}

const std::string &StreamedCompletion::text() const
{
    return this->collectedText;
}

const std::string &StreamedCompletion::error() const
{
    return this->errorData;
}

} // namespace Bergamotramp
