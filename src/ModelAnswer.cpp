#include "ModelAnswer.h"

namespace Bergamotramp {

namespace {

std::string choiceText(ModelInterface kind, const nlohmann::json &choice)
{
    if (kind == ModelInterface::Completions) {
        return choice.value("text", "");
    }
    const auto delta = choice.find("delta");
    if (delta == choice.end() || !delta->contains("content") || !delta->at("content").is_string()) {
        return "";
    }
    return delta->at("content").get<std::string>();
}

nlohmann::json withoutChoices(const nlohmann::json &event)
{
    nlohmann::json copy = event;
    copy.erase("choices");
    return copy;
}

} // namespace

ModelAnswer::ModelAnswer(ModelInterface kind) : kind(kind)
{
}

std::string ModelAnswer::add(std::string_view event)
{
    const nlohmann::json json = nlohmann::json::parse(event);
    std::string text;
    const auto choices = json.find("choices");
    if (choices != json.end() && !choices->empty()) {
        const nlohmann::json &choice = choices->front();
        text = choiceText(this->kind, choice);
        if (choice.contains("finish_reason") && choice.at("finish_reason").is_string()) {
            this->finishReason = choice.at("finish_reason").get<std::string>();
        }
    }
    this->metadata.update(withoutChoices(json));
    this->fullText += text;
    this->textEvents += text.empty() ? 0 : 1;
    return text;
}

const std::string &ModelAnswer::text() const
{
    return this->fullText;
}

std::uint32_t ModelAnswer::tokens() const
{
    return this->textEvents;
}

std::string ModelAnswer::toResponseBody() const
{
    nlohmann::json choice = {{"index", 0}, {"finish_reason", this->finishReason.empty() ? "stop" : this->finishReason}};
    if (this->kind == ModelInterface::Completions) {
        choice["text"] = this->fullText;
    } else {
        choice["message"] = {{"role", "assistant"}, {"content", this->fullText}};
    }
    nlohmann::json response = this->metadata;
    response["object"] = this->kind == ModelInterface::Completions ? "text_completion" : "chat.completion";
    response["choices"] = nlohmann::json::array({choice});
    return response.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string ModelAnswer::toEvent(ModelInterface kind, std::string_view response)
{
    nlohmann::json event = nlohmann::json::parse(response);
    if (kind == ModelInterface::ChatCompletions) {
        nlohmann::json &choice = event.at("choices").at(0);
        choice["delta"] = choice.at("message");
        choice.erase("message");
        event["object"] = "chat.completion.chunk";
    }
    return event.dump();
}

std::string ModelAnswer::textOf(ModelInterface kind, std::string_view event)
{
    const nlohmann::json json = nlohmann::json::parse(event);
    const auto choices = json.find("choices");
    return choices == json.end() || choices->empty() ? "" : choiceText(kind, choices->front());
}

std::string ModelAnswer::withText(ModelInterface kind, std::string_view event, const std::string &text)
{
    nlohmann::json json = nlohmann::json::parse(event);
    nlohmann::json &choice = json.at("choices").at(0);
    if (kind == ModelInterface::Completions) {
        choice["text"] = text;
    } else {
        choice["delta"]["content"] = text;
    }
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace Bergamotramp
