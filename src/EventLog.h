#pragma once

#include <cstdint>
#include <fstream>
#include <initializer_list>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>

#include <nlohmann/json.hpp>

#include "HybridClock.h"

namespace Bergamotramp {

/** Structured event log of one process: one JSON object per line with a timestamp of the host's hybrid logical clock. */
class EventLog
{
public:
    /** Appends to the file @p path, or writes no file when the path is empty. Throws std::runtime_error when the file can't be opened. */
    EventLog(std::string host, const std::string &path);

    /** Writes an event. @p fields is a JSON object, for example {{"request", id}, {"upstream", name}}. */
    void record(std::string_view event, const nlohmann::json &fields);

    /** Advances the clock and returns the packed hybrid time to send with a message. */
    std::uint64_t nextTimestamp();
    /** Advances the clock past the packed hybrid time of a received message. */
    void receiveTimestamp(std::uint64_t packedTime);

private:
    std::string host;
    std::mutex mutex;
    HybridClock clock;
    std::ofstream file;
};

} // namespace Bergamotramp
