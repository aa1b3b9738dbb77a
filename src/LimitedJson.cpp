#include "LimitedJson.h"

namespace Bergamotramp {

namespace {

// The JSON library copies, compares and prints nested values by recursion, so that some hundred thousand levels, which fit into one
// object of the store, overflow the stack. Only the deep value is left out, because a list with one such object has to be usable.
bool isWithinLevels(int depth, nlohmann::json::parse_event_t, nlohmann::json &)
{
    return depth <= maxJsonLevels;
}

} // namespace

nlohmann::json parseLimitedJson(std::string_view text)
{
    return nlohmann::json::parse(text, isWithinLevels);
}

nlohmann::json parseLimitedJsonOrDiscard(std::string_view text)
{
    return nlohmann::json::parse(text, isWithinLevels, false);
}

} // namespace Bergamotramp
