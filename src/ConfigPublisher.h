#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <absl/time/time.h>

#include "ConfigPointer.h"
#include "ConfigService.h"
#include "StoreTypes.h"

namespace Bergamotramp {

/** Key of the object that holds the ConfigPointer: the current generation and earlier ones, with the keys of their catalogues. */
inline constexpr const char *configCurrentKey = "config/current";
inline constexpr const char *configPrefix = "config/";

/** A ConfigPointer as read from the store; version 0 when there is no object yet. */
struct StoredPointer {
    ConfigPointer pointer;
    std::uint64_t version = 0;
};

/** Reads config/current; throws StoreError when the store doesn't answer or the object can't be parsed. */
StoredPointer readConfigPointer(StoreClient &store);

/**
 * Publishes one catalogue: creates its object, then points config/current to it with a conditional update.
 * After a lost answer the update is repeated, which can take effect at most once, and the writer id is read back to learn the outcome.
 */
class ConfigPublisher
{
public:
    /** @p writer is an id unique to this publication. After @p timeout no more attempts are made to learn the outcome. */
    ConfigPublisher(StoreClient &store, std::string writer, absl::Duration timeout);

    /** Publishes @p catalogue, whose generation is one more than @p baseGeneration. Blocks. */
    ConfigService::PublishResult publish(std::uint64_t baseGeneration, const Catalogue &catalogue);

private:
    using Result = ConfigService::PublishResult;

    /** Returns the key of the created object, or nothing when the object could not be created. */
    std::optional<std::string> createCatalogue(std::uint64_t generation, const std::string &text);
    bool create(const std::string &key, const std::string &text);
    Result updatePointer(const StoredPointer &from, const ConfigEntry &entry);
    /** Reads config/current to learn whether this publication or another one took effect; returns nothing if the store doesn't answer. */
    std::optional<Result> resolveOutcome(std::uint64_t generation);
    void removeDroppedCatalogues(const ConfigPointer &before, const ConfigPointer &after);

    StoreClient &store;
    std::string writer;
    absl::Duration timeout;
};

} // namespace Bergamotramp
