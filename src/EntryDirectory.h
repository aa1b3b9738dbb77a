#pragma once

#include <mutex>
#include <string>
#include <vector>

#include <absl/time/time.h>

#include "UpstreamClient.h"

namespace Bergamotramp {

/** Discovers the addresses of the entry hosts: reads the list from a known entry and caches it for its time to live. Thread-safe. */
class EntryDirectory
{
public:
    /** @p seeds are the entry addresses known initially, "IP:port". */
    EntryDirectory(std::vector<std::string> seeds, absl::Duration connectTimeout);

    /**
     * Returns the current entries. An expired list is read again from the first entry that responds, and stays in use
     * while no entry responds. Throws CliError with Unreachable when no list has ever been read.
     */
    std::vector<std::string> addresses();

private:
    bool tryBeginRefresh();
    void refresh();
    bool refreshFrom(const std::string &host);

    std::vector<std::string> seeds;
    UpstreamClient client;
    std::mutex mutex;
    std::vector<std::string> entries;
    absl::Time expiry = absl::InfinitePast();
    bool refreshing = false;
};

} // namespace Bergamotramp
