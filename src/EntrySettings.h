#pragma once

#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include <absl/time/time.h>

namespace Bergamotramp {

/** The settings of an entry host are invalid; the message names the file, the path of the key and the accepted values. */
class EntrySettingsError : public std::runtime_error
{
public:
    EntrySettingsError(const std::string &file, const std::string &problem);
};

/** Role of a process in the fleet. */
enum class HostRole {
    /** Serves the requests of callers and runs jobs. */
    Entry,
    /** Runs on a host with a disk. Stores nothing, and confirms this when the host is to be emptied. */
    Disk,
};

/** Settings of one process of the fleet. Addresses are "IP:port". */
struct EntrySettings {
    std::string name;
    HostRole role = HostRole::Entry;
    std::string region;
    std::string dataCentre;
    /** Region of each data centre. */
    std::map<std::string, std::string> regionByDataCentre;
    std::string entryAddress;
    std::string readyAddress;
    std::string directoryAddress;
    std::string controlAddress;
    /** For UDP datagrams between hosts. */
    std::string peerAddress;
    std::string metricsAddress;
    std::string storeAddress;
    /** Addresses of hosts that may already be running. Only the IP is used; their ports are taken to be the same as this host's. */
    std::vector<std::string> seeds;
    std::int64_t maxConnections = 2000;
    /** Bandwidth of this host's network link, Mbit/s; 0 if unknown. */
    std::int64_t linkMbps = 0;
    /** Memory that the process may use, MB; 0 if unknown. */
    std::int64_t memoryMb = 0;
    /** Descriptors that the process may open; 0 if unknown. */
    std::int64_t maxDescriptors = 0;
    /** How long callers may cache the addresses that the directory returns. */
    absl::Duration addressTimeToLive = absl::Seconds(2);
    /** Time between the signal to stop and the kill of the process. */
    absl::Duration stopGrace = absl::Seconds(8);
    /** Longest time from the store's acknowledgement of a revocation to the last admission of a request with the key; 0 for no bound. */
    absl::Duration revocationBound = absl::ZeroDuration();

    /** Hedges and retries together as a share of the requests that may run more than once, 0 to 0.2; 0 for no hedges. */
    double hedgeShare = 0.0;
    /** Latency percentile, 0 to 1, of comparable requests after which a request is slow. */
    double hedgePercentile = 0.95;

    bool operator==(const EntrySettings &) const = default;

    /** Parses and validates the text of a settings file; throws EntrySettingsError. */
    static EntrySettings parse(const std::string &file, std::string_view text);
    /** Reads, parses and validates a settings file; throws EntrySettingsError. */
    static EntrySettings load(const std::string &file);
};

} // namespace Bergamotramp
