#include "RunBook.h"

#include <fstream>
#include <sstream>

namespace Bergamotramp {

void RunBook::addFile(const std::string &file)
{
    this->files.emplace(file, 0);
}

void RunBook::poll(const std::function<void(const RecordedRun &)> &each)
{
    for (auto &[file, offset] : this->files) {
        std::ifstream stream(file);
        stream.seekg(offset);
        for (std::string line; std::getline(stream, line) && !stream.eof();) {
            offset += static_cast<std::streamoff>(line.size()) + 1;
            std::int64_t micros = 0;
            RecordedRun run;
            std::istringstream(line) >> micros >> run.upstream >> run.requestId;
            run.time = absl::FromUnixMicros(micros);
            ++this->counts[run.requestId];
            each(run);
        }
    }
}

std::size_t RunBook::runs(const std::string &requestId) const
{
    const auto found = this->counts.find(requestId);
    return found == this->counts.end() ? 0 : found->second;
}

} // namespace Bergamotramp
