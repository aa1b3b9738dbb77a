#pragma once

#include <string_view>

#include <nlohmann/json.hpp>

namespace Bergamotramp {

/** Objects and arrays that are nested deeper than this are left out of parsed JSON. */
constexpr int maxJsonLevels = 64;

/**
 * Parses JSON from another process, without the values below maxJsonLevels. A number beyond the range of a double is read as null, a
 * string with bytes that are no text as an empty one. Throws nlohmann::json::exception.
 */
nlohmann::json parseLimitedJson(std::string_view text);
/**
 * Parses JSON that is passed on or kept as it is: text with values below maxJsonLevels or out of range is rejected as a whole. Returns a
 * discarded value if the text is rejected.
 */
nlohmann::json parseShallowJsonOrDiscard(std::string_view text);
/** The same as parseLimitedJson(), with a discarded value in place of the exception. */
nlohmann::json parseLimitedJsonOrDiscard(std::string_view text);

} // namespace Bergamotramp
