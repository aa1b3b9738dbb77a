#pragma once

#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>

#include <absl/time/time.h>

#include "LocalRouting.h"

namespace Bergamotramp {

/** The settings file can't be used; the message names the file, the key's path and what is accepted. */
class SettingsError : public std::runtime_error
{
public:
    SettingsError(const std::string &file, const std::string &problem);
};

/** Limits on what callers may send. */
struct CallerLimits {
    std::int64_t bodyBytes = 4 * 1024 * 1024;
    std::int64_t jobBytes = 512 * 1024 * 1024;
    std::int64_t jobItems = 500'000;
    std::int64_t itemBytes = 256 * 1024;
    /** Connections served at once; one thread each. */
    std::int64_t connections = 256;

    bool operator==(const CallerLimits &) const = default;
};

/** Settings of one host, read once at the start. Addresses are "IP:port". */
struct HostSettings {
    std::string name;
    std::string region;
    std::string dataCentre;
    std::string callerAddress;
    std::string peerAddress;
    /** Addresses at which this host reaches its peers, by the peer address that each announces. */
    std::map<std::string, std::string> peerRoutes;
    std::string adminAddress;
    std::string storeAddress;
    absl::Duration storeTimeout = absl::Seconds(2);
    /** Directory for data that may be lost; empty when the host stores none. */
    std::string dataFolder;
    /** File of the structured event log; empty for none. */
    std::string eventLog;
    /** How long callers may cache the response of /v1/entries. */
    absl::Duration entryTimeToLive = absl::Seconds(15);
    absl::Duration membershipPeriod = absl::Milliseconds(500);
    std::int64_t journalShards = 16;
    /** The minimum time for which idempotency keys are kept after their last attempt ended. */
    absl::Duration journalRetention = absl::Hours(1);
    /** Memory limit, in bytes, for the keys and recent results of the journal shards that this host holds. */
    std::int64_t journalBytes = 12 * 1024 * 1024;
    /** Batch items that this host runs at once. */
    std::int64_t batchConcurrency = 64;
    /** How long this host waits for the reply of a pool holder before it grants slots from its own share. */
    absl::Duration slotReplyTimeout = absl::Milliseconds(50);
    RoutingMode routing = RoutingMode::Pool;
    CallerLimits limits;

    bool operator==(const HostSettings &) const = default;

    /** Parses and checks the text of a settings file; throws SettingsError. */
    static HostSettings parse(const std::string &file, std::string_view text);
    /** Reads, parses and checks a settings file; throws SettingsError. */
    static HostSettings load(const std::string &file);
};

} // namespace Bergamotramp
