#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "HostContext.h"
#include "bergamotramp.pb.h"

namespace Bergamotramp {

/**
 * Publishes catalogues and keeps this host's catalogue up to date. Thread-safe.
 * At startup the catalogue is read from the store; failing that, from peers; failing that, from the copy in the data folder.
 * Afterwards one live host of each data centre watches the store, all hosts poll it at long intervals, and hosts tell each other about
 * new generations.
 */
class ConfigService
{
public:
    /** Outcome of a publication. */
    struct PublishResult {
        enum class Outcome {
            /** The generation is in the store and in force at this host. */
            Accepted,
            /** Another publication came first; this one has no effect. */
            Conflict,
            /** The publication failed, for example because the store can't be reached; it has no effect. */
            Unavailable,
            /** The store stopped answering; the publication may take effect. */
            Unknown,
        };

        Outcome outcome = Outcome::Unavailable;
        /** After Accepted the new generation, after Conflict the one in force, if known. */
        std::uint64_t generation = 0;
        std::string message;
    };

    /** Starts loading the configuration in the background; @p context must outlive the service and have its liveHosts hook set. */
    explicit ConfigService(const HostContext &context);
    ~ConfigService();
    ConfigService(const ConfigService &) = delete;
    ConfigService &operator=(const ConfigService &) = delete;

    /** The catalogue in force. Never null: until one is known, an empty catalogue of generation 0. */
    [[nodiscard]] std::shared_ptr<const Catalogue> catalogue() const;
    [[nodiscard]] std::uint64_t generation() const;
    /** Calls @p hook after each change of the catalogue, on a thread of the service or the caller's thread of publish(). It must not block. */
    void onChange(std::function<void()> hook);
    /** Publishes @p services as the generation after @p baseGeneration. Blocks for a few calls of the store. */
    PublishResult publish(std::uint64_t baseGeneration, const std::vector<ServiceSpec> &services);
    /** Handles ConfigPull and ConfigPush messages of peers; does not block. */
    void handle(const wire::Envelope &envelope);
    /** Pulls the catalogue from a peer in the background if its @p generation is greater than the one in force; does not block. */
    void pullIfNewer(const std::string &peerAddress, std::uint64_t generation);
    /** State for the admin interface. */
    [[nodiscard]] nlohmann::json status() const;

private:
    class Implementation;

    std::unique_ptr<Implementation> implementation;
};

} // namespace Bergamotramp
