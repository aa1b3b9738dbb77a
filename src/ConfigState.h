#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "ServiceSpec.h"

namespace Bergamotramp {

/** The set of services at one generation. Immutable. */
struct Catalogue {
    std::uint64_t generation = 0;
    std::vector<ServiceSpec> services;

    bool operator==(const Catalogue &) const = default;

    /** Throws JsonError. */
    static Catalogue fromJsonText(std::string_view text);
    [[nodiscard]] std::string toJsonText() const;
    /** Returns nullptr when there is no such service. */
    [[nodiscard]] const ServiceSpec *find(std::string_view name) const;
};

/** The active catalogue of one host. Its generation never decreases. */
class ConfigState
{
public:
    ConfigState();

    /** Makes @p candidate the active catalogue if its generation is greater; returns whether it did. */
    bool adoptIfNewer(const Catalogue &candidate);
    /** Never null; generation 0 without services at first. */
    [[nodiscard]] std::shared_ptr<const Catalogue> current() const;
    [[nodiscard]] std::uint64_t generation() const;

private:
    std::shared_ptr<const Catalogue> active;
};

} // namespace Bergamotramp
