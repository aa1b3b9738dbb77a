#include "ServiceFiles.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>

#include <absl/strings/str_cat.h>

#include "CliError.h"

namespace Bergamotramp {

namespace {

constexpr std::string_view serviceFileSuffix = ".service.json";

std::vector<std::string> listServiceFiles(const std::string &folder)
{
    std::vector<std::string> files;
    try {
        for (const std::filesystem::directory_entry &entry : std::filesystem::recursive_directory_iterator(folder)) {
            if (entry.is_regular_file() && entry.path().filename().string().ends_with(serviceFileSuffix)) {
                files.push_back(entry.path().string());
            }
        }
    } catch (const std::filesystem::filesystem_error &error) {
        throw CliError(ExitCode::InvalidInput, absl::StrCat(folder, ": ", error.code().message()));
    }
    std::sort(files.begin(), files.end());
    return files;
}

ServiceSpec readServiceFile(const std::string &file)
{
    const std::ifstream stream(file, std::ios::binary);
    if (!stream) {
        throw ServiceFileError(file, "cannot be read");
    }
    std::ostringstream text;
    text << stream.rdbuf();
    return ServiceSpec::parse(file, text.str());
}

} // namespace

ServiceFiles readServiceFiles(const std::string &folder)
{
    ServiceFiles result;
    std::map<std::string, std::string> fileByName;
    for (const std::string &file : listServiceFiles(folder)) {
        try {
            ServiceSpec spec = readServiceFile(file);
            const auto [first, isNew] = fileByName.emplace(spec.name, file);
            if (!isNew) {
                throw ServiceFileError(file, absl::StrCat("name: ", spec.name, " is already used by ", first->second));
            }
            result.services.push_back(std::move(spec));
        } catch (const ServiceFileError &error) {
            result.problems.emplace_back(error.what());
        }
    }
    std::sort(result.services.begin(), result.services.end(), [](const ServiceSpec &left, const ServiceSpec &right) { return left.name < right.name; });
    return result;
}

bool ServiceChanges::empty() const
{
    return this->added.empty() && this->removed.empty() && this->changed.empty();
}

ServiceChanges compareServices(const std::vector<ServiceSpec> &before, const std::vector<ServiceSpec> &after)
{
    std::map<std::string, const ServiceSpec *> servicesBefore;
    for (const ServiceSpec &spec : before) {
        servicesBefore[spec.name] = &spec;
    }
    ServiceChanges changes;
    std::map<std::string, const ServiceSpec *> servicesAfter;
    for (const ServiceSpec &spec : after) {
        servicesAfter[spec.name] = &spec;
        const auto found = servicesBefore.find(spec.name);
        if (found == servicesBefore.end()) {
            changes.added.push_back(spec.name);
        } else if (*found->second != spec) {
            changes.changed.push_back(spec.name);
        }
    }
    for (const auto &[name, spec] : servicesBefore) {
        if (!servicesAfter.contains(name)) {
            changes.removed.push_back(name);
        }
    }
    std::sort(changes.added.begin(), changes.added.end());
    std::sort(changes.changed.begin(), changes.changed.end());
    return changes;
}

} // namespace Bergamotramp
