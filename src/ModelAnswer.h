#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace Bergamotramp {

/** The API of a model service. */
enum class ModelInterface {
    Completions,
    ChatCompletions,
};

/** Assembles the events of a model's stream into one answer. */
class ModelAnswer
{
public:
    explicit ModelAnswer(ModelInterface kind);

    /** Adds one event and returns its text. Throws nlohmann::json::exception when the event doesn't have the format of the API. */
    std::string add(std::string_view event);
    [[nodiscard]] const std::string &text() const;
    /** Number of events with text so far. */
    [[nodiscard]] std::uint32_t tokens() const;
    /** Body of the response to a request without "stream". */
    [[nodiscard]] std::string toResponseBody() const;

    /** The text of an event; throws nlohmann::json::exception when the event doesn't have the format of the API. */
    static std::string textOf(ModelInterface kind, std::string_view event);
    /** Converts a recorded response body into a single event, for a request with "stream". */
    static std::string toEvent(ModelInterface kind, std::string_view response);
    /** A copy of @p event with @p text in place of its own text. */
    static std::string withText(ModelInterface kind, std::string_view event, const std::string &text);

private:
    ModelInterface kind;
    std::string fullText;
    std::uint32_t textEvents = 0;
    nlohmann::json metadata = nlohmann::json::object();
    std::string finishReason;
};

} // namespace Bergamotramp
