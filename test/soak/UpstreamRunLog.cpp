#include "UpstreamRunLog.h"

#include <fstream>
#include <sstream>

namespace Bergamotramp {

void UpstreamRunLog::addFile(const std::string &file)
{
    this->readOffsets.emplace(file, 0);
}

void UpstreamRunLog::poll(const std::function<void(const RecordedRun &)> &handleRun)
{
    for (auto &[file, offset] : this->readOffsets) {
        std::ifstream stream(file);
        stream.seekg(offset);
        for (std::string line; std::getline(stream, line) && !stream.eof();) {
            offset += static_cast<std::streamoff>(line.size()) + 1;
            std::int64_t micros = 0;
            RecordedRun run;
            std::istringstream(line) >> micros >> run.upstream >> run.requestId;
            run.time = absl::FromUnixMicros(micros);
            ++this->runCounts[run.requestId];
            handleRun(run);
        }
    }
}

std::size_t UpstreamRunLog::runCount(const std::string &requestId) const
{
    const auto found = this->runCounts.find(requestId);
    return found == this->runCounts.end() ? 0 : found->second;
}

} // namespace Bergamotramp
