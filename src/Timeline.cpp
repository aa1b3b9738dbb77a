#include "Timeline.h"

#include <algorithm>
#include <optional>
#include <tuple>

#include <absl/strings/str_cat.h>

namespace Bergamotramp {

namespace {

std::optional<TimelineEvent> parseLine(std::string_view line)
{
    nlohmann::json json = nlohmann::json::parse(line, nullptr, false);
    if (!json.is_object()) {
        return std::nullopt;
    }
    try {
        TimelineEvent event;
        event.time = {json.at("t").get<std::int64_t>(), json.at("c").get<std::uint32_t>()};
        event.host = json.at("host").get<std::string>();
        event.event = json.at("event").get<std::string>();
        for (const char *key : {"t", "c", "host", "event"}) {
            json.erase(key);
        }
        event.fields = std::move(json);
        return event;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

bool hasField(const TimelineEvent &event, const std::string &key, const std::string &value)
{
    const auto found = event.fields.find(key);
    return found != event.fields.end() && *found == nlohmann::json(value);
}

} // namespace

std::string TimelineEvent::toText() const
{
    const std::string when = absl::FormatTime("%Y-%m-%dT%H:%M:%E6S", absl::FromUnixMicros(this->time.wallMicroseconds), absl::UTCTimeZone());
    std::string text = absl::StrCat(when, "+", this->time.counter, " ", this->host, " ", this->event);
    for (const auto &[key, value] : this->fields.items()) {
        absl::StrAppend(&text, " ", key, "=", value.is_string() ? value.get<std::string>() : value.dump());
    }
    return text;
}

bool TimelineFilter::accepts(const TimelineEvent &event) const
{
    const bool hostMatches = this->host.empty() || event.host == this->host || hasField(event, "member", this->host) || hasField(event, "peer", this->host);
    return hostMatches && (this->request.empty() || hasField(event, "request", this->request)) && (this->job.empty() || hasField(event, "job", this->job))
           && (this->upstream.empty() || hasField(event, "upstream", this->upstream));
}

void Timeline::add(std::string_view text)
{
    while (!text.empty()) {
        const std::size_t end = std::min(text.find('\n'), text.size());
        const std::string_view line = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        if (line.empty()) {
            continue;
        }
        if (std::optional<TimelineEvent> event = parseLine(line)) {
            this->allEvents.push_back(std::move(*event));
        } else {
            ++this->skippedCount;
        }
    }
}

std::vector<TimelineEvent> Timeline::events(const TimelineFilter &filter) const
{
    std::vector<TimelineEvent> accepted;
    std::copy_if(
        this->allEvents.begin(), this->allEvents.end(), std::back_inserter(accepted), [&filter](const TimelineEvent &event) { return filter.accepts(event); });
    std::stable_sort(accepted.begin(), accepted.end(), [](const TimelineEvent &left, const TimelineEvent &right) {
        return std::tie(left.time, left.host) < std::tie(right.time, right.host);
    });
    return accepted;
}

std::size_t Timeline::skippedLines() const
{
    return this->skippedCount;
}

} // namespace Bergamotramp
