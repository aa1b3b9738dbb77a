#include "ObjectStore.h"

namespace Bergamotramp {

nlohmann::json ObjectRecord::toJson() const
{
    return {{"name", this->name}, {"revision", this->revision}, {"content", this->content}, {"status", this->status}};
}

ObjectRecord ObjectRecord::fromJson(const nlohmann::json &json)
{
    // Hosts of an earlier version send objects without a status.
    return {.name = json.at("name"), .revision = json.at("revision"), .content = json.at("content"), .status = json.value("status", nlohmann::json())};
}

} // namespace Bergamotramp
