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
// The library's own filter for values takes time that grows with the square of their number: 4 MB of empty objects took more than 20 s.
class LimitedBuilder : public nlohmann::json_sax<nlohmann::json>
{
public:
    explicit LimitedBuilder(nlohmann::json &root) : builder(root)
    {
    }
    bool null() override
    {
        return this->skips() || this->builder.null();
    }
    bool boolean(bool value) override
    {
        return this->skips() || this->builder.boolean(value);
    }
    bool number_integer(number_integer_t value) override
    {
        return this->skips() || this->builder.number_integer(value);
    }
    bool number_unsigned(number_unsigned_t value) override
    {
        return this->skips() || this->builder.number_unsigned(value);
    }
    bool number_float(number_float_t value, const string_t &text) override
    {
        return this->skips() || this->builder.number_float(value, text);
    }
    bool string(string_t &value) override
    {
        return this->skips() || this->builder.string(value);
    }
    bool binary(binary_t &value) override
    {
        return this->skips() || this->builder.binary(value);
    }
    bool start_object(std::size_t elements) override
    {
        const bool skipped = this->skips();
        ++this->openLevels;
        return skipped || this->builder.start_object(elements);
    }
    bool key(string_t &value) override
    {
        return this->skips() || this->builder.key(value);
    }
    bool end_object() override
    {
        --this->openLevels;
        return this->openLevels > maxJsonLevels || this->builder.end_object();
    }
    bool start_array(std::size_t elements) override
    {
        const bool skipped = this->skips();
        ++this->openLevels;
        return skipped || this->builder.start_array(elements);
    }
    bool end_array() override
    {
        --this->openLevels;
        return this->openLevels > maxJsonLevels || this->builder.end_array();
    }
    bool parse_error(std::size_t position, const std::string &token, const nlohmann::json::exception &error) override
    {
        return this->builder.parse_error(position, token, error);
    }
    /** Whether a value was left out. */
    bool tooDeep = false;

private:
    bool skips()
    {
        const bool skipped = this->openLevels > maxJsonLevels;
        this->tooDeep = this->tooDeep || skipped;
        return skipped;
    }

    nlohmann::detail::json_sax_dom_parser<nlohmann::json> builder;
    int openLevels = 0;
};

/** Parses @p text; sets @p tooDeep to whether values were left out. */
nlohmann::json parseWithinLevels(std::string_view text, bool &tooDeep)
{
    nlohmann::json json;
    LimitedBuilder builder(json);
    nlohmann::json::sax_parse(text, &builder);
    tooDeep = builder.tooDeep;
    return json;
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
    bool tooDeep = false;
    try {
        return parseWithinLevels(text, tooDeep);
    } catch (const nlohmann::json::exception &) {
        return parseWithinLevels(withoutUnreadableValues(text), tooDeep);
    }
}

nlohmann::json parseShallowJsonOrDiscard(std::string_view text)
{
    try {
        bool tooDeep = false;
        nlohmann::json json = parseWithinLevels(text, tooDeep);
        return tooDeep ? nlohmann::json(nlohmann::json::value_t::discarded) : json;
    } catch (const nlohmann::json::exception &) {
        return nlohmann::json(nlohmann::json::value_t::discarded);
    }
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
