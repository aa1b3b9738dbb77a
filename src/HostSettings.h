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
    /** Addresses through which this host reaches peers, by the peer address that they announce. */
    std::map<std::string, std::string> peerRoutes;
    std::string adminAddress;
    std::string storeAddress;
    absl::Duration storeTimeout = absl::Seconds(2);
    /** Folder for what may be lost; empty when the host keeps nothing. */
    std::string dataFolder;
    /** File of the structured event log; empty for none. */
    std::string eventLog;
    /** How long callers keep the answer of /v1/entries. */
    absl::Duration entryTimeToLive = absl::Seconds(15);
    absl::Duration membershipPeriod = absl::Milliseconds(500);
    std::int64_t journalShards = 16;
    /** How long keys are kept at least after their last attempt ended. */
    absl::Duration journalRetention = absl::Hours(1);
    /** Memory for the keys and recent results of the shards that this host holds. */
    std::int64_t journalBytes = 12 * 1024 * 1024;
    /** Batch items that this host runs at once. */
    std::int64_t batchConcurrency = 64;
    /** Wait for the reply of a pool holder before the host falls back to its own share. */
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
