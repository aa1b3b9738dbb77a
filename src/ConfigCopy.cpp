#include "ConfigCopy.h"

#include <filesystem>
#include <fstream>
#include <sstream>

#include <glog/logging.h>

#include "JsonReader.h"

namespace Bergamotramp {

ConfigCopy::ConfigCopy(const std::string &folder) : path(folder.empty() ? "" : folder + "/catalogue.json")
{
}

void ConfigCopy::save(const Catalogue &catalogue) const
{
    if (this->path.empty()) {
        return;
    }
    // Writes a temporary file and renames it, so that a crash in between leaves the previous copy in place.
    const std::string temporary = this->path + ".new";
    std::error_code error;
    std::filesystem::create_directories(std::filesystem::path(this->path).parent_path(), error);
    std::ofstream file(temporary, std::ios::trunc);
    file << catalogue.toJsonText();
    file.close();
    if (!file.fail()) {
        std::filesystem::rename(temporary, this->path, error);
    }
    if (file.fail() || error) {
        LOG(WARNING) << "cannot save the copy of the configuration to " << this->path << ": " << error.message();
    }
}

std::optional<Catalogue> ConfigCopy::load() const
{
    const std::ifstream file(this->path);
    if (this->path.empty() || !file) {
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    try {
        return Catalogue::fromJsonText(text.str());
    } catch (const JsonError &error) {
        LOG(WARNING) << "cannot parse the copy of the configuration " << this->path << ": " << error.what();
        return std::nullopt;
    }
}

} // namespace Bergamotramp
