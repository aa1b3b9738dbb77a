#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace Bergamotramp {

/** Shape of a model service's interface. */
enum class ModelInterface {
    Completions,
    ChatCompletions,
};

/** Puts the events of a model's stream together into one answer. */
class ModelAnswer
{
public:
    explicit ModelAnswer(ModelInterface kind);

    /** Adds one event; returns the text it carries. Throws nlohmann::json::exception when the event isn't of the interface. */
    std::string add(std::string_view event);
    [[nodiscard]] const std::string &text() const;
    /** Events with text so far. */
    [[nodiscard]] std::uint32_t tokens() const;
    /** The answer to a request without "stream". */
    [[nodiscard]] std::string toResponse() const;

    /** The text that an event carries; throws nlohmann::json::exception when the event isn't of the interface. */
    static std::string textOf(ModelInterface kind, std::string_view event);
    /** The event that carries a recorded answer to a request with "stream". */
    static std::string toEvent(ModelInterface kind, std::string_view response);
    /** A copy of @p event that carries @p text instead of its own. */
    static std::string withText(ModelInterface kind, std::string_view event, const std::string &text);

private:
    ModelInterface kind;
    std::string joined;
    std::uint32_t pieces = 0;
    nlohmann::json last = nlohmann::json::object();
    std::string finishReason;
};

} // namespace Bergamotramp
