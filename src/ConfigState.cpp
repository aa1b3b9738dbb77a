#include "ConfigState.h"

#include <limits>

#include <absl/container/flat_hash_set.h>
#include <absl/strings/str_cat.h>

#include "JsonReader.h"

namespace Bergamotramp {

Catalogue Catalogue::fromJsonText(std::string_view text)
{
    const nlohmann::json json = JsonReader::parse(text);
    JsonReader reader(json, "");
    Catalogue catalogue;
    catalogue.generation = static_cast<std::uint64_t>(reader.requiredInteger("generation", {0, std::numeric_limits<std::int64_t>::max()}));
    absl::flat_hash_set<std::string> names;
    reader.optionalArray("services", [&](const nlohmann::json &element, const std::string &path) {
        ServiceSpec spec = ServiceSpec::fromJson(element, path);
        if (!names.insert(spec.name).second) {
            throw JsonError(path, absl::StrCat("the service ", spec.name, " is defined twice"));
        }
        catalogue.services.push_back(std::move(spec));
    });
    reader.rejectUnreadKeys();
    return catalogue;
}

std::string Catalogue::toJsonText() const
{
    nlohmann::json list = nlohmann::json::array();
    for (const ServiceSpec &service : this->services) {
        list.push_back(service.toJson());
    }
    return nlohmann::json({{"generation", this->generation}, {"services", list}}).dump();
}

const ServiceSpec *Catalogue::find(std::string_view name) const
{
    for (const ServiceSpec &service : this->services) {
        if (service.name == name) {
            return &service;
        }
    }
    return nullptr;
}

ConfigState::ConfigState() : active(std::make_shared<const Catalogue>())
{
}

bool ConfigState::adoptIfNewer(const Catalogue &candidate)
{
    if (candidate.generation <= this->active->generation) {
        return false;
    }
    this->active = std::make_shared<const Catalogue>(candidate);
    return true;
}

std::shared_ptr<const Catalogue> ConfigState::current() const
{
    return this->active;
}

std::uint64_t ConfigState::generation() const
{
    return this->active->generation;
}

} // namespace Bergamotramp
