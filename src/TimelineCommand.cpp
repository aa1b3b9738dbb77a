#include <ostream>

#include <CLI/CLI.hpp>

#include "Cli.h"
#include "Timeline.h"

namespace Bergamotramp {

namespace {

struct TimelineOptions {
    std::vector<std::string> files;
    TimelineFilter filter;
    std::size_t last = 0;
};

nlohmann::json eventToJson(const TimelineEvent &event)
{
    nlohmann::json json = event.fields;
    json["t"] = event.time.wallMicroseconds;
    json["c"] = event.time.counter;
    json["host"] = event.host;
    json["event"] = event.event;
    return json;
}

void showTimeline(CommandContext &context, const TimelineOptions &options)
{
    Timeline timeline;
    for (const std::string &file : options.files) {
        timeline.add(readInputFile(file));
    }
    std::vector<TimelineEvent> events = timeline.events(options.filter);
    if (options.last > 0 && events.size() > options.last) {
        events.erase(events.begin(), events.end() - static_cast<std::ptrdiff_t>(options.last));
    }
    for (const TimelineEvent &event : events) {
        // Ids in the logs come from callers and may contain invalid UTF-8, which is replaced in the JSON output.
        context.out() << (context.jsonOutput() ? eventToJson(event).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) : event.toText()) << '\n';
    }
    if (timeline.skippedLines() > 0) {
        context.err() << "bergamotramp: " << timeline.skippedLines() << " lines could not be parsed and were skipped\n";
    }
}

} // namespace

void addTimelineCommand(CLI::App &app, CommandContext &context)
{
    auto options = std::make_shared<TimelineOptions>();
    CLI::App *command = app.add_subcommand("timeline",
                                           "Merge the event logs of several hosts and order the events by hybrid logical time. Lines that can't be parsed\n"
                                           "are counted and skipped. With --output json, one JSON object per line.");
    command->add_option("FILES", options->files, "Event logs (JSON lines)")->required();
    command->add_option("--request", options->filter.request, "Only events of this request");
    command->add_option("--job", options->filter.job, "Only events of this job");
    command->add_option("--host", options->filter.host, "Only events recorded by this host or about it");
    command->add_option("--upstream", options->filter.upstream, "Only events about this upstream");
    command->add_option("--last", options->last, "Only the last N of these events");
    context.addOutputOption(*command);
    command->callback([&context, options] { context.action = [&context, options] { showTimeline(context, *options); }; });
}

} // namespace Bergamotramp
