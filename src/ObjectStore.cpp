#include "ObjectStore.h"

namespace Bergamotramp {

namespace {

/** Number of the JSON library for a value of another type than the wanted one. */
constexpr int wrongTypeError = 302;

} // namespace

std::uint64_t readRevision(const nlohmann::json &json)
{
    // The JSON library converts a negative number or a fraction to some large one. A host that took it for a revision would ignore
    // every later change as an older one.
    if (!json.is_number_unsigned()) {
        throw nlohmann::json::type_error::create(wrongTypeError, "the revision is not a whole number from 0 on", nullptr);
    }
    return json.get<std::uint64_t>();
}

nlohmann::json ObjectRecord::toJson() const
{
    return {{"name", this->name}, {"revision", this->revision}, {"content", this->content}, {"status", this->status}};
}

ObjectRecord ObjectRecord::fromJson(const nlohmann::json &json)
{
    // Hosts of an earlier version send objects without a status.
    return {.name = json.at("name"),
            .revision = readRevision(json.at("revision")),
            .content = json.at("content"),
            .status = json.value("status", nlohmann::json())};
}

} // namespace Bergamotramp
