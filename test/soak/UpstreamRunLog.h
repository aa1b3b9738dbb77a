#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include <absl/time/time.h>

namespace Bergamotramp {

/** One run of a request at an upstream, as the upstream recorded it. */
struct RecordedRun {
    absl::Time time;
    std::string upstream;
    std::string requestId;
};

/** Runs of requests at the upstreams, read from the files to which the upstreams append them. */
class UpstreamRunLog
{
public:
    void addFile(const std::string &file);
    /** Reads the runs that were appended since the last call and passes each to @p handleRun. */
    void poll(const std::function<void(const RecordedRun &)> &handleRun);
    /** How often a request has run at any upstream, as far as read. */
    [[nodiscard]] std::size_t runCount(const std::string &requestId) const;

private:
    /** Offset in bytes up to which each file has been read. */
    std::map<std::string, std::streamoff> readOffsets;
    std::map<std::string, std::size_t> runCounts;
};

} // namespace Bergamotramp
