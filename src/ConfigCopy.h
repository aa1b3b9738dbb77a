#pragma once

#include <optional>
#include <string>

#include "ConfigState.h"

namespace Bergamotramp {

/** The catalogue kept in the data folder for a start while neither the store nor a peer answers. */
class ConfigCopy
{
public:
    /** Keeps nothing when @p folder is empty. */
    explicit ConfigCopy(const std::string &folder);

    /** Replaces the copy; a failure is logged, because the copy is only a fallback. */
    void save(const Catalogue &catalogue) const;
    /** Nothing when there is no readable copy. */
    [[nodiscard]] std::optional<Catalogue> load() const;

private:
    std::string path;
};

} // namespace Bergamotramp
