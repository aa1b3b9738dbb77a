#pragma once

#include <string>
#include <vector>

#include "ServiceSpec.h"

namespace Bergamotramp {

/** The services read from the files below a folder, and every problem found in these files. */
struct ServiceFiles {
    /** Sorted by name. */
    std::vector<ServiceSpec> services;
    /** One message per invalid file, which names the file. */
    std::vector<std::string> problems;
};

/** Reads all files below @p folder whose name ends in ".service.json". Throws CliError when the folder can't be read. */
ServiceFiles readServiceFiles(const std::string &folder);

/** Names of the services that a publication adds, removes and changes, sorted. */
struct ServiceChanges {
    std::vector<std::string> added;
    std::vector<std::string> removed;
    std::vector<std::string> changed;

    [[nodiscard]] bool empty() const;
    bool operator==(const ServiceChanges &) const = default;
};

ServiceChanges compareServices(const std::vector<ServiceSpec> &before, const std::vector<ServiceSpec> &after);

} // namespace Bergamotramp
