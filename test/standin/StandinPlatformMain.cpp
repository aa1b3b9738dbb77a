#include <CLI/CLI.hpp>

#include "StandinPlatform.h"
#include "StandinProgram.h"

int main(int argc, char **argv)
{
    CLI::App app("Stand-in for the platform's key-value store and host list.");
    Bergamotramp::StandinPlatformSettings settings;
    std::int64_t hostsLag = 0;
    app.add_option("--port", settings.port, "Port on 127.0.0.1, 0 for a free one");
    app.add_option("--writes-per-second", settings.writesPerSecond, "Rate limit of writes, 0 for none");
    app.add_option("--reads-per-second", settings.readsPerSecond, "Rate limit of reads, 0 for none");
    app.add_option("--hosts-lag-ms", hostsLag, "Delay until the host list shows a change, milliseconds");
    app.add_option("--file", settings.file, "File in which the objects are stored; it is read at the start");
    CLI11_PARSE(app, argc, argv);
    settings.hostsLag = absl::Milliseconds(hostsLag);
    const sigset_t signals = Bergamotramp::blockTerminationSignals();
    try {
        const Bergamotramp::StandinPlatform platform(settings);
        Bergamotramp::printAddressAndWait(platform.address(), signals);
    } catch (const std::exception &error) {
        std::cerr << "standin-platform: " << error.what() << '\n';
        return 1;
    }
    return 0;
}
