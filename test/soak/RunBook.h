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

/** What the upstreams have run, read from the files that they append to. */
class RunBook
{
public:
    void addFile(const std::string &file);
    /** Reads what is new and calls @p each for it. */
    void poll(const std::function<void(const RecordedRun &)> &each);
    [[nodiscard]] std::size_t runs(const std::string &requestId) const;

private:
    /** Files with the offset up to which they have been read. */
    std::map<std::string, std::streamoff> files;
    std::map<std::string, std::size_t> counts;
};

} // namespace Bergamotramp
