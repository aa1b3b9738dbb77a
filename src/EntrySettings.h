#pragma once

#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include <absl/time/time.h>

namespace Bergamotramp {

/** The settings of an entry host can't be used; the message names the file, the key's path and what is accepted. */
class EntrySettingsError : public std::runtime_error
{
public:
    EntrySettingsError(const std::string &file, const std::string &problem);
};

/** What a process of the fleet does. */
enum class HostRole {
    /** Takes callers' requests and runs jobs. */
    Entry,
    /** Stands on a host with a disk. Keeps nothing, and says so when the host is to be emptied. */
    Disk,
};

/** Settings of one process on the users' platform. Addresses are "IP:port". */
struct EntrySettings {
    std::string name;
    HostRole role = HostRole::Entry;
    std::string region;
    std::string dataCentre;
    /** Region of each data centre. */
    std::map<std::string, std::string> regions;
    std::string entryAddress;
    std::string readyAddress;
    std::string directoryAddress;
    std::string controlAddress;
    /** For datagrams between hosts. */
    std::string peerAddress;
    std::string metricsAddress;
    std::string storeAddress;
    /** IP addresses of hosts that may be there already; their other addresses have the same ports as this host's. */
    std::vector<std::string> seeds;
    std::int64_t maxConnections = 2000;
    /** Bandwidth of this host's link, Mbit/s; 0 when it is not known. */
    std::int64_t linkMbps = 0;
    /** How long callers keep the addresses that they were given. */
    absl::Duration addressTimeToLive = absl::Seconds(2);
    /** Time from the signal to stop until the process is killed. */
    absl::Duration stopGrace = absl::Seconds(8);

    bool operator==(const EntrySettings &) const = default;

    /** Parses and checks the text of a settings file; throws EntrySettingsError. */
    static EntrySettings parse(const std::string &file, std::string_view text);
    /** Reads, parses and checks a settings file; throws EntrySettingsError. */
    static EntrySettings load(const std::string &file);
};

} // namespace Bergamotramp
