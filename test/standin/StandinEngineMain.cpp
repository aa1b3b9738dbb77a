#include <unistd.h>

#include <CLI/CLI.hpp>

#include "StandinEngine.h"
#include "StandinProgram.h"

namespace {

/** Durations as the command line gives them. */
struct Times {
    std::int64_t tokenInterval = 5000; // us
    std::int64_t promptByte = 20; // us
    std::int64_t loadLag = 500; // ms
    std::int64_t eventLag = 500; // ms
    std::int64_t resumeRetention = 30'000; // ms
};

void addOptions(CLI::App &app, Bergamotramp::StandinEngineSettings &settings, Times &times)
{
    app.add_option("--port", settings.port, "Port on 127.0.0.1, 0 for a free one");
    app.add_option("--slots", settings.speed.slots, "Streams that run at once");
    app.add_option("--token-interval-us", times.tokenInterval, "Time between the tokens of a stream that runs alone");
    app.add_option("--growth", settings.speed.growth, "Share of the token interval that each further stream adds");
    app.add_option("--prompt-byte-us", times.promptByte, "Time for each byte of the prompt that is not cached");
    app.add_option("--slow-factor", settings.speed.slowFactor, "Multiplies all times");
    app.add_option("--cache-blocks", settings.cacheBlocks, "Size of the prefix cache");
    app.add_option("--load-lag-ms", times.loadLag, "How late the load report is");
    app.add_option("--event-lag-ms", times.eventLag, "How late the cache events are");
    app.add_option("--event-gap", settings.eventGap, "Each n-th cache event is missing, 0 for none");
    app.add_option("--resume-retention-ms", times.resumeRetention, "How long a cancelled stream can be resumed");
    app.add_flag("--honour-fencing", settings.honourFencing, "Reject orders with a stale fencing token");
}

void applyTimes(Bergamotramp::StandinEngineSettings &settings, const Times &times)
{
    settings.speed.tokenInterval = absl::Microseconds(times.tokenInterval);
    settings.speed.promptByte = absl::Microseconds(times.promptByte);
    settings.loadLag = absl::Milliseconds(times.loadLag);
    settings.eventLag = absl::Milliseconds(times.eventLag);
    settings.resumeRetention = absl::Milliseconds(times.resumeRetention);
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Stand-in for a model engine.");
    Bergamotramp::StandinEngineSettings settings;
    Times times;
    addOptions(app, settings, times);
    CLI11_PARSE(app, argc, argv);
    applyTimes(settings, times);
    settings.onCrash = [] { ::_exit(70); };
    const sigset_t signals = Bergamotramp::blockEndSignals();
    try {
        const Bergamotramp::StandinEngine engine(settings);
        Bergamotramp::announceAndWait(engine.address(), signals);
    } catch (const std::exception &error) {
        std::cerr << "standin-engine: " << error.what() << '\n';
        return 1;
    }
    return 0;
}
