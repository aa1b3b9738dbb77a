#include "EventStreamParser.h"

#include <absl/strings/numbers.h>

namespace Bergamotramp {

EventStreamParser::EventStreamParser(std::function<void(StreamEvent)> onEvent) : onEvent(std::move(onEvent))
{
}

bool EventStreamParser::feed(std::string_view bytes)
{
    while (!bytes.empty()) {
        const std::size_t end = bytes.find('\n');
        const std::size_t lineBytes = end == std::string_view::npos ? bytes.size() : end + 1;
        this->oversized = this->oversized || this->currentEvent.frame.size() + lineBytes > maxEventBytes;
        if (this->oversized) {
            return false;
        }
        if (end == std::string_view::npos) {
            this->currentEvent.frame.append(bytes);
            return true;
        }
        this->currentEvent.frame.append(bytes.substr(0, end + 1));
        bytes.remove_prefix(end + 1);
        std::string_view line(this->currentEvent.frame);
        line.remove_prefix(this->lineStart);
        line.remove_suffix(1);
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        this->parseLine(line);
    }
    return true;
}

void EventStreamParser::parseLine(std::string_view line)
{
    if (line.empty()) {
        StreamEvent completeEvent = std::move(this->currentEvent);
        this->currentEvent = {};
        this->lineStart = 0;
        this->hasData = false;
        this->onEvent(std::move(completeEvent));
        return;
    }
    this->lineStart = this->currentEvent.frame.size();
    const std::size_t colon = line.find(':');
    const std::string_view name = line.substr(0, colon);
    std::string_view value = colon == std::string_view::npos ? std::string_view() : line.substr(colon + 1);
    if (value.starts_with(' ')) {
        value.remove_prefix(1);
    }
    if (name == "id") {
        std::uint64_t id = 0;
        if (absl::SimpleAtoi(absl::string_view(value.data(), value.size()), &id)) {
            this->currentEvent.id = id;
        }
    } else if (name == "data") {
        if (this->hasData) {
            this->currentEvent.data.push_back('\n');
        }
        this->currentEvent.data.append(value);
        this->hasData = true;
    }
}

bool EventStreamParser::atBoundary() const
{
    return this->currentEvent.frame.empty();
}

} // namespace Bergamotramp
