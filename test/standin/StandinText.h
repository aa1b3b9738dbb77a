#pragma once

#include <cstdint>
#include <cstdio>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace Bergamotramp {

/** Markers in a prompt or body on which a stand-in crashes or responds with an error. */
constexpr std::string_view crashMarker = "[[crash]]";
constexpr std::string_view failMarker = "[[fail]]";

/** FNV-1a hash, which, unlike std::hash, has a specified value: all processes compute the same one. */
inline std::uint64_t standinHash(std::string_view text, std::uint64_t seed = 0xcbf29ce484222325U)
{
    std::uint64_t hash = seed;
    for (const char character : text) {
        hash = (hash ^ static_cast<unsigned char>(character)) * 0x100000001b3U;
    }
    return hash;
}

/** Token @p index of the engine's response to @p prompt. */
inline std::string standinToken(std::string_view prompt, std::int64_t index)
{
    std::string token(40, '\0');
    const int length = std::snprintf(token.data(), token.size(), " w%lld-%08x", static_cast<long long>(index), static_cast<unsigned>(standinHash(prompt)));
    token.resize(static_cast<std::size_t>(length));
    return token;
}

/** The engine's complete response to @p prompt. */
inline std::string standinAnswer(std::string_view prompt, std::int64_t tokens)
{
    std::string answer;
    for (std::int64_t index = 0; index < tokens; ++index) {
        answer += standinToken(prompt, index);
    }
    return answer;
}

/** The prompt that the engine builds from the "messages" of a chat request. */
inline std::string standinChatPrompt(const nlohmann::json &messages)
{
    std::string prompt;
    for (const nlohmann::json &message : messages) {
        const nlohmann::json &content = message.at("content");
        prompt += message.at("role").get<std::string>() + ": " + (content.is_string() ? content.get<std::string>() : content.dump()) + "\n";
    }
    return prompt;
}

/** The prompt of a completion or chat request. */
inline std::string standinPrompt(const nlohmann::json &body)
{
    return body.contains("messages") ? standinChatPrompt(body.at("messages")) : body.at("prompt").get<std::string>();
}

} // namespace Bergamotramp
