#include <CLI/CLI.hpp>

#include "StandinPlatform.h"
#include "StandinProgram.h"

int main(int argc, char **argv)
{
    CLI::App app("Stand-in for the platform's store and host list.");
    Bergamotramp::StandinPlatformSettings settings;
    std::int64_t hostsLag = 0;
    app.add_option("--port", settings.port, "Port on 127.0.0.1, 0 for a free one");
    app.add_option("--writes-per-second", settings.writesPerSecond, "Rate limit of writes, 0 for none");
    app.add_option("--reads-per-second", settings.readsPerSecond, "Rate limit of reads, 0 for none");
    app.add_option("--hosts-lag-ms", hostsLag, "How long the host list takes to show a change");
    app.add_option("--file", settings.file, "File of the objects, reloaded at the start");
    CLI11_PARSE(app, argc, argv);
    settings.hostsLag = absl::Milliseconds(hostsLag);
    const sigset_t signals = Bergamotramp::blockEndSignals();
    try {
        const Bergamotramp::StandinPlatform platform(settings);
        Bergamotramp::announceAndWait(platform.address(), signals);
    } catch (const std::exception &error) {
        std::cerr << "standin-platform: " << error.what() << '\n';
        return 1;
    }
    return 0;
}
