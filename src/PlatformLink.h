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

/** A caller that asks which addresses to use. */
struct DirectoryQuery {
    std::string region;
    std::string dataCentre;

    bool operator==(const DirectoryQuery &) const = default;
};

/** A request that a host with a disk be emptied. */
struct EmptyingState {
    std::string host;
    bool done = false;

    bool operator==(const EmptyingState &) const = default;
};

/** Everything that depends on the platform on which the fleet runs. */
struct PlatformLink {
    ServingProtocol serving;
    std::unique_ptr<ObjectStore> store;
    /** Kinds of objects that the platform and its operator write. */
    std::string configKind;
    std::string configName;
    std::string upstreamKind;
    std::string emptyingKind;
    /** Nothing when the object can't be read. */
    std::function<std::optional<RoutingConfig>(const ObjectRecord &)> decodeConfig;
    std::function<std::optional<UpstreamInfo>(const ObjectRecord &)> decodeUpstream;
    std::function<nlohmann::json(const EmptyingState &)> encodeEmptying;
    /** Whether the request asks for addresses, and for which place. */
    std::function<std::optional<DirectoryQuery>(const HttpRequest &)> decodeDirectoryQuery;
    std::function<HttpResponse(const std::vector<std::string> &addresses, absl::Duration timeToLive)> encodeAddresses;
    std::function<bool(const HttpRequest &)> isReadyCheck;
};

} // namespace Bergamotramp
