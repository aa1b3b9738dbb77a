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

/** The object that holds the ConfigPointer. */
inline constexpr const char *configCurrentKey = "config/current";
inline constexpr const char *configPrefix = "config/";

/** A ConfigPointer as read from the store; version 0 when there is no object yet. */
struct StoredPointer {
    ConfigPointer pointer;
    std::uint64_t version = 0;
};

/** Reads config/current; throws StoreError, also when the object can't be understood. */
StoredPointer readConfigPointer(StoreClient &store);

/**
 * Publishes one catalogue: creates its object, then moves config/current by conditional update.
 * A lost answer is settled by repeating the update, which can apply at most once, and by reading back the writer id.
 */
class ConfigPublisher
{
public:
    /** @p writer is unique to this publication. Gives up settling a lost answer after @p patience. */
    ConfigPublisher(StoreClient &store, std::string writer, absl::Duration patience);

    /** @p catalogue carries the new generation, one more than @p baseGeneration. Blocks. */
    ConfigService::PublishResult publish(std::uint64_t baseGeneration, const Catalogue &catalogue);

private:
    using Result = ConfigService::PublishResult;

    /** The key of the created object, or nothing when the store failed. */
    std::optional<std::string> createCatalogue(std::uint64_t generation, const std::string &text);
    bool create(const std::string &key, const std::string &text);
    Result movePointer(const StoredPointer &from, const ConfigEntry &entry);
    /** Nothing while the store doesn't answer. */
    std::optional<Result> settle(std::uint64_t generation);
    void removeDropped(const ConfigPointer &before, const ConfigPointer &after);

    StoreClient &store;
    std::string writer;
    absl::Duration patience;
};

} // namespace Bergamotramp
