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
 * Publishes configurations and keeps the catalogue in force at this host. Thread-safe.
 * Reads the store, else a peer of the host list, else the data folder's copy.
 */
class ConfigService
{
public:
    /** Outcome of a publication. */
    struct PublishResult {
        enum class Outcome {
            /** The generation is in the store and in force at this host. */
            Accepted,
            /** Another publication came first; nothing of this one takes effect. */
            Conflict,
            /** The store can't be reached; nothing of this publication takes effect. */
            Unavailable,
            /** The store stopped answering; the publication may take effect. */
            Unknown,
        };

        Outcome outcome = Outcome::Unavailable;
        /** The new generation when accepted, the one that stands when in conflict, if known. */
        std::uint64_t generation = 0;
        std::string message;
    };

    /** Starts reading the configuration at once; @p context outlives the service and its liveHosts hook is set. */
    explicit ConfigService(const HostContext &context);
    ~ConfigService();
    ConfigService(const ConfigService &) = delete;
    ConfigService &operator=(const ConfigService &) = delete;

    /** The catalogue in force; generation 0 without services until one is known. Never null. */
    [[nodiscard]] std::shared_ptr<const Catalogue> catalogue() const;
    [[nodiscard]] std::uint64_t generation() const;
    /** Calls @p hook after each adoption, on a thread of the service or of publish(); must not block. */
    void onChange(std::function<void()> hook);
    /** Publishes @p services as the generation after @p baseGeneration. Blocks for a few store calls. */
    PublishResult publish(std::uint64_t baseGeneration, const std::vector<ServiceSpec> &services);
    /** Takes ConfigPull and ConfigPush; does not block. */
    void handle(const wire::Envelope &envelope);
    /** Pulls from the peer when @p generation is greater than the one in force; does not block. */
    void seenGreater(const std::string &peerAddress, std::uint64_t generation);
    /** State for the admin interface. */
    [[nodiscard]] nlohmann::json status() const;

private:
    class Implementation;

    std::unique_ptr<Implementation> implementation;
};

} // namespace Bergamotramp
