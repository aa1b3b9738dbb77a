#pragma once

#include <string>
#include <vector>

#include "ServiceSpec.h"

namespace Bergamotramp {

/** The services below a folder and every problem found in their files. */
struct ServiceFiles {
    /** Sorted by name. */
    std::vector<ServiceSpec> services;
    /** One message per broken file, each naming its file. */
    std::vector<std::string> problems;
};

/** Reads all files below @p folder whose name ends in ".service.json". Throws CliError when the folder can't be read. */
ServiceFiles readServiceFiles(const std::string &folder);

/** What a publication changes. Names are sorted. */
struct CatalogueChange {
    std::vector<std::string> added;
    std::vector<std::string> removed;
    std::vector<std::string> changed;

    [[nodiscard]] bool empty() const;
    bool operator==(const CatalogueChange &) const = default;
};

CatalogueChange compareServices(const std::vector<ServiceSpec> &before, const std::vector<ServiceSpec> &after);

} // namespace Bergamotramp
