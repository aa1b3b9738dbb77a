#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "EntryMetrics.h"
#include "EventLoop.h"
#include "ObjectStore.h"
#include "RoutingConfig.h"
#include "ServingProtocol.h"
#include "UpstreamTable.h"

namespace Bergamotramp {

/** Location of a caller that asks which entry addresses to use. */
struct DirectoryQuery {
    std::string region;
    std::string dataCentre;

    bool operator==(const DirectoryQuery &) const = default;
};

/** Status that a host with a disk reports for the order to empty it before it is retired. */
struct EmptyingState {
    std::string host;
    bool done = false;

    bool operator==(const EmptyingState &) const = default;
};

/** Functions and names that adapt an entry host to the platform on which the fleet runs. */
struct PlatformAdapter {
    ServingProtocol serving;
    std::unique_ptr<ObjectStore> store;
    /** Kinds of store objects that the platform or its operator writes, and the name of the configuration object. */
    std::string configKind;
    std::string configName;
    std::string upstreamKind;
    std::string emptyingKind;
    std::function<DecodedConfig(const ObjectRecord &)> decodeConfig;
    /** Returns nothing when the object is malformed. */
    std::function<std::optional<UpstreamInfo>(const ObjectRecord &)> decodeUpstream;
    std::function<nlohmann::json(const EmptyingState &)> encodeEmptying;
    /** Returns the location of the caller when the request asks for entry addresses, else nothing. */
    std::function<std::optional<DirectoryQuery>(const HttpRequest &)> decodeDirectoryQuery;
    std::function<HttpResponse(const std::vector<std::string> &addresses, absl::Duration timeToLive)> encodeAddresses;
    std::function<bool(const HttpRequest &)> isReadinessCheck;
};

} // namespace Bergamotramp
