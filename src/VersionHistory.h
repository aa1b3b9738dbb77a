#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/time/time.h>

#include "UpstreamTable.h"

namespace Bergamotramp {

/**
 * Which software versions of each service have been registered lately. If a service has had only one for longer than any stream lasts,
 * that version has begun all of its streams.
 */
class VersionHistory
{
public:
    /** Takes the registered upstreams into account. Called after each change and several times a second. */
    void observe(const std::vector<UpstreamInfo> &registered, absl::Time now);
    /** Changes of the registered upstreams may be missed until the next call of observe(), so nothing is known of the time before it. */
    void interrupt();
    /** The only software version that the service has had within @p period; nothing if there were several, or if it is not certain. */
    [[nodiscard]] std::optional<std::string> soleVersion(std::string_view service, absl::Duration period, absl::Time now) const;
    /** Whether several versions of the service have been registered within @p period. */
    [[nodiscard]] bool hasSeveral(std::string_view service, absl::Duration period, absl::Time now) const;
    /** Whether another version of the service has ever been registered. */
    [[nodiscard]] bool hasOther(std::string_view service, std::string_view version) const;

private:
    /** When each version of a service was last registered. */
    using Versions = std::map<std::string, absl::Time, std::less<>>;

    std::map<std::string, Versions, std::less<>> services;
    absl::Time observedSince = absl::InfiniteFuture();
};

} // namespace Bergamotramp
