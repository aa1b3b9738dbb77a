#include <unistd.h>

#include <CLI/CLI.hpp>

#include "StandinEngine.h"
#include "StandinProgram.h"

namespace {

/** Durations from the command line, in the units of their options. */
struct DurationOptions {
    std::int64_t tokenInterval = 5000; // us
    std::int64_t promptByteTime = 20; // us
    std::int64_t loadLag = 500; // ms
    std::int64_t eventLag = 500; // ms
    std::int64_t resumeRetention = 30'000; // ms
};

void addOptions(CLI::App &app, Bergamotramp::StandinEngineSettings &settings, DurationOptions &durations)
{
    app.add_option("--port", settings.port, "Port on 127.0.0.1, 0 for a free one");
    app.add_option("--slots", settings.speed.slots, "Number of streams that run at once");
    app.add_option("--token-interval-us", durations.tokenInterval, "Time between the tokens of a stream that runs alone, microseconds");
    app.add_option("--growth", settings.speed.slowdownPerStream, "Fraction of the token interval by which each stream beyond the first lengthens it");
    app.add_option("--prompt-byte-us", durations.promptByteTime, "Processing time per byte of the prompt that is not cached, microseconds");
    app.add_option("--slow-factor", settings.speed.slowFactor, "Multiplies the token interval and the processing time of prompts");
    app.add_option("--cache-blocks", settings.cacheBlocks, "Size of the prefix cache, in blocks");
    app.add_option("--load-lag-ms", durations.loadLag, "Age of the data in the load report, milliseconds");
    app.add_option("--event-lag-ms", durations.eventLag, "Age of the reported cache events, milliseconds");
    app.add_option("--event-gap", settings.eventGap, "Each n-th cache event is left out, 0 for none");
    app.add_option("--resume-retention-ms", durations.resumeRetention, "How long a cancelled stream can be resumed, milliseconds");
    app.add_flag("--honour-fencing", settings.honourFencing, "Reject orders with a stale or missing fencing token");
}

void applyDurations(Bergamotramp::StandinEngineSettings &settings, const DurationOptions &durations)
{
    settings.speed.tokenInterval = absl::Microseconds(durations.tokenInterval);
    settings.speed.promptByteTime = absl::Microseconds(durations.promptByteTime);
    settings.loadLag = absl::Milliseconds(durations.loadLag);
    settings.eventLag = absl::Milliseconds(durations.eventLag);
    settings.resumeRetention = absl::Milliseconds(durations.resumeRetention);
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Stand-in for a model engine.");
    Bergamotramp::StandinEngineSettings settings;
    DurationOptions durations;
    addOptions(app, settings, durations);
    CLI11_PARSE(app, argc, argv);
    applyDurations(settings, durations);
    settings.onCrash = [] { ::_exit(70); };
    const sigset_t signals = Bergamotramp::blockTerminationSignals();
    try {
        const Bergamotramp::StandinEngine engine(settings);
        Bergamotramp::printAddressAndWait(engine.address(), signals);
    } catch (const std::exception &error) {
        std::cerr << "standin-engine: " << error.what() << '\n';
        return 1;
    }
    return 0;
}
