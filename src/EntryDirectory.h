#pragma once

#include <mutex>
#include <string>
#include <vector>

#include <absl/time/time.h>

#include "UpstreamClient.h"

namespace Bergamotramp {

/** The entry addresses that callers use: asks a known entry and keeps the answer for its time to live. Thread-safe. */
class EntryDirectory
{
public:
    /** @p seeds are the addresses known at the start, "IP:port". */
    EntryDirectory(std::vector<std::string> seeds, absl::Duration connectTimeout);

    /**
     * The current entries. When the list has expired, it is read again from the first entry that answers.
     * An expired list stays in use while no entry answers. Throws CliError with Unreachable when there never was a list.
     */
    std::vector<std::string> addresses();

private:
    bool beginRefresh();
    void refresh();
    bool readFrom(const std::string &host);

    std::vector<std::string> seeds;
    UpstreamClient client;
    std::mutex mutex;
    std::vector<std::string> entries;
    absl::Time expiry = absl::InfinitePast();
    bool refreshing = false;
};

} // namespace Bergamotramp
