#include "LimitedJson.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <string>

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>

namespace Bergamotramp {

namespace {

// The JSON library copies, compares and prints nested values by recursion, so that some hundred thousand levels, which fit into one
// object of the store, overflow the stack. Only the deep value is left out, because a list with one such object has to be usable.
bool isWithinLevels(int depth, nlohmann::json::parse_event_t, nlohmann::json &)
{
    return depth <= maxJsonLevels;
}

/** The length of the UTF-8 sequence that begins @p text, or 0 if it is malformed. */
std::size_t sequenceLength(std::string_view text)
{
    const auto byte = [text](std::size_t index) { return static_cast<unsigned char>(text[index]); };
    const auto continues = [&](std::size_t from, std::size_t to) {
        for (std::size_t index = from; index < to; ++index) {
            if (index >= text.size() || (byte(index) & 0xc0U) != 0x80U) {
                return false;
            }
        }
        return true;
    };
    const unsigned char first = byte(0);
    if (first < 0x80U) {
        return 1;
    }
    if (first >= 0xc2U && first <= 0xdfU) {
        return continues(1, 2) ? 2 : 0;
    }
    if (first >= 0xe0U && first <= 0xefU) {
        const bool overlong = first == 0xe0U && text.size() > 1 && byte(1) < 0xa0U;
        const bool surrogate = first == 0xedU && text.size() > 1 && byte(1) > 0x9fU;
        return continues(1, 3) && !overlong && !surrogate ? 3 : 0;
    }
    if (first >= 0xf0U && first <= 0xf4U) {
        const bool overlong = first == 0xf0U && text.size() > 1 && byte(1) < 0x90U;
        const bool beyond = first == 0xf4U && text.size() > 1 && byte(1) > 0x8fU;
        return continues(1, 4) && !overlong && !beyond ? 4 : 0;
    }
    return 0;
}

/** The length of the string literal that begins @p text; sets @p readable to whether it is valid. */
std::size_t stringLength(std::string_view text, bool &readable)
{
    std::size_t position = 1;
    while (position < text.size() && text[position] != '"') {
        if (text[position] == '\\' && position + 1 < text.size()) {
            position += 2;
            continue;
        }
        const std::size_t length = sequenceLength(text.substr(position));
        readable = readable && length > 0 && static_cast<unsigned char>(text[position]) >= 0x20U;
        position += std::max<std::size_t>(1, length);
    }
    // A string without an end is no JSON, whatever it holds.
    readable = readable || position >= text.size();
    return std::min(text.size(), position + 1);
}

/** The length of the number that begins @p text; 0 if it does not begin with one. */
std::size_t numberLength(std::string_view text)
{
    if (text.front() != '-' && !absl::ascii_isdigit(static_cast<unsigned char>(text.front()))) {
        return 0;
    }
    const std::size_t end = text.find_first_not_of("+-.0123456789eE");
    return end == std::string_view::npos ? text.size() : end;
}

bool isOutOfRange(std::string_view number)
{
    double value = 0;
    return absl::SimpleAtod(absl::string_view(number.data(), number.size()), &value) && std::isinf(value);
}

/**
 * Replaces what the JSON library rejects although the text around it can be read: numbers beyond the range of a double by null, and
 * strings with bytes that are no text by empty ones. One such value in one object must not make a whole list unreadable.
 */
std::string withoutUnreadableValues(std::string_view text)
{
    std::string result;
    result.reserve(text.size());
    while (!text.empty()) {
        std::size_t length = 1;
        std::string_view replacement;
        if (text.front() == '"') {
            bool readable = true;
            length = stringLength(text, readable);
            replacement = readable ? std::string_view() : std::string_view("\"\"");
        } else if (const std::size_t digits = numberLength(text); digits > 0) {
            length = digits;
            replacement = isOutOfRange(text.substr(0, length)) ? std::string_view("null") : std::string_view();
        }
        result.append(replacement.empty() ? text.substr(0, length) : replacement);
        text.remove_prefix(length);
    }
    return result;
}

} // namespace

nlohmann::json parseLimitedJson(std::string_view text)
{
    try {
        return nlohmann::json::parse(text, isWithinLevels);
    } catch (const nlohmann::json::exception &) {
        return nlohmann::json::parse(withoutUnreadableValues(text), isWithinLevels);
    }
}

nlohmann::json parseShallowJsonOrDiscard(std::string_view text)
{
    bool tooDeep = false;
    const auto checkLevels = [&tooDeep](int depth, nlohmann::json::parse_event_t event, nlohmann::json &value) {
        const bool within = isWithinLevels(depth, event, value);
        tooDeep = tooDeep || !within;
        return within;
    };
    nlohmann::json json = nlohmann::json::parse(text, checkLevels, false);
    return tooDeep ? nlohmann::json(nlohmann::json::value_t::discarded) : json;
}

nlohmann::json parseLimitedJsonOrDiscard(std::string_view text)
{
    try {
        return parseLimitedJson(text);
    } catch (const nlohmann::json::exception &) {
        return nlohmann::json(nlohmann::json::value_t::discarded);
    }
}

} // namespace Bergamotramp
