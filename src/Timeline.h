#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "HybridClock.h"

namespace Bergamotramp {

/** One event of a host's event log. */
struct TimelineEvent {
    HybridTime time;
    std::string host;
    std::string event;
    /** All fields except time, host and event name. */
    nlohmann::json fields;

    bool operator==(const TimelineEvent &) const = default;

    /** Human-readable line: time, host, event and fields. */
    [[nodiscard]] std::string toText() const;
};

/** Selects events by their fields; an empty string accepts every value. */
struct TimelineFilter {
    std::string request;
    std::string job;
    /** The host that recorded the event, or the host that the event is about. */
    std::string host;
    std::string upstream;

    bool operator==(const TimelineFilter &) const = default;

    [[nodiscard]] bool accepts(const TimelineEvent &event) const;
};

/** Merges the event logs of several processes, ordered by hybrid time. */
class Timeline
{
public:
    /** Adds the text of one event log. Malformed lines, such as one cut off by a crash, are skipped and counted. */
    void add(std::string_view text);
    /** The events that @p filter accepts, ordered by hybrid time, then by host, then by position in the log. */
    [[nodiscard]] std::vector<TimelineEvent> events(const TimelineFilter &filter) const;
    [[nodiscard]] std::size_t skippedLines() const;

private:
    std::vector<TimelineEvent> allEvents;
    std::size_t skippedCount = 0;
};

} // namespace Bergamotramp
