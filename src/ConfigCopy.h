#pragma once

#include <optional>
#include <string>

#include "ConfigState.h"

namespace Bergamotramp {

/** A copy of the catalogue in the data folder, read at startup when neither the store nor a peer answers. */
class ConfigCopy
{
public:
    /** Saves and loads nothing when @p folder is empty. */
    explicit ConfigCopy(const std::string &folder);

    /** Replaces the copy. Failures are only logged, because the copy is a fallback. */
    void save(const Catalogue &catalogue) const;
    /** Returns nothing when there is no copy or it can't be parsed. */
    [[nodiscard]] std::optional<Catalogue> load() const;

private:
    std::string path;
};

} // namespace Bergamotramp
