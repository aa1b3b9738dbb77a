#include "ObjectStore.h"

namespace Bergamotramp {

nlohmann::json ObjectRecord::toJson() const
{
    return {{"name", this->name}, {"revision", this->revision}, {"content", this->content}, {"status", this->status}};
}

ObjectRecord ObjectRecord::fromJson(const nlohmann::json &json)
{
    // A host of an earlier version sends no status with its snapshot.
    return {.name = json.at("name"), .revision = json.at("revision"), .content = json.at("content"), .status = json.value("status", nlohmann::json())};
}

} // namespace Bergamotramp
