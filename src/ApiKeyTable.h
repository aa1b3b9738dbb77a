#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "Organisation.h"

namespace Bergamotramp {

/**
 * The organisations of one version of the configuration, and which of them a key belongs to. Holds digests instead of keys. Immutable once
 * the version is in use.
 */
class ApiKeyTable
{
public:
    enum class KeyResult {
        Added,
        /** The organisation has this key already. */
        Repeated,
        /** Another organisation has this key; the table is unchanged. */
        Conflict,
    };

    /** Returns the position of the new organisation; nothing if one of this name exists. */
    std::optional<std::size_t> addOrganisation(Organisation organisation);
    /** Gives a key to the organisation at this position. */
    KeyResult addKey(std::size_t organisation, std::string_view key);

    /** The organisation that has this key, or null. Takes the same time for any number of keys. */
    [[nodiscard]] const Organisation *findByKey(std::string_view key) const;
    /** The organisation of this name, or null. */
    [[nodiscard]] const Organisation *findByName(const std::string &name) const;
    /** In the order of the configuration. */
    [[nodiscard]] const std::vector<Organisation> &organisations() const;
    [[nodiscard]] std::size_t keyCount() const;

    bool operator==(const ApiKeyTable &) const = default;

private:
    /** SHA-256 of a key. */
    using Digest = std::array<unsigned char, 32>;

    [[nodiscard]] static Digest digestOf(std::string_view key);

    std::vector<Organisation> entries;
    absl::flat_hash_map<std::string, std::size_t> positionByName;
    absl::flat_hash_map<Digest, std::size_t> positionByKey;
};

} // namespace Bergamotramp
