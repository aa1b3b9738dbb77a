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
    /** The other fields of the event. */
    nlohmann::json fields;

    bool operator==(const TimelineEvent &) const = default;

    /** One line for people: time, host, event and fields. */
    [[nodiscard]] std::string toText() const;
};

/** Which events to show; an empty string accepts everything. */
struct TimelineFilter {
    std::string request;
    std::string job;
    /** The host that recorded the event or the one that it is about. */
    std::string host;
    std::string upstream;

    bool operator==(const TimelineFilter &) const = default;

    [[nodiscard]] bool accepts(const TimelineEvent &event) const;
};

/** Merges the event logs of many processes into one order by hybrid time. */
class Timeline
{
public:
    /** Adds the text of one event log. Lines that can't be read, such as one cut off by a crash, are counted and skipped. */
    void add(std::string_view text);
    /** The accepted events, by hybrid time; ties by host, then in the order of the log. */
    [[nodiscard]] std::vector<TimelineEvent> events(const TimelineFilter &filter) const;
    [[nodiscard]] std::size_t skippedLines() const;

private:
    std::vector<TimelineEvent> all;
    std::size_t skipped = 0;
};

} // namespace Bergamotramp
