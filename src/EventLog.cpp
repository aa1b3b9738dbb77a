#include "EventLog.h"

#include <stdexcept>

#include <absl/time/clock.h>

namespace Bergamotramp {

EventLog::EventLog(std::string host, const std::string &path) : host(std::move(host))
{
    if (path.empty()) {
        return;
    }
    this->file.open(path, std::ios::app);
    if (!this->file) {
        throw std::runtime_error("cannot open the event log " + path);
    }
}

void EventLog::record(std::string_view event, const nlohmann::json &fields)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    const HybridTime time = this->clock.tick(absl::Now());
    if (!this->file.is_open()) {
        return;
    }
    nlohmann::json line = fields;
    line["t"] = time.wallMicroseconds;
    line["c"] = time.counter;
    line["host"] = this->host;
    line["event"] = event;
    // Replaces invalid UTF-8, which ids from callers can contain and on which dump() would throw.
    this->file << line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) << '\n' << std::flush;
}

std::uint64_t EventLog::nextTimestamp()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->clock.tick(absl::Now()).pack();
}

void EventLog::receiveTimestamp(std::uint64_t packedTime)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->clock.receive(HybridTime::unpack(packedTime), absl::Now());
}

} // namespace Bergamotramp
