#include <unistd.h>

#include <CLI/CLI.hpp>

#include "StandinPlain.h"
#include "StandinProgram.h"

int main(int argc, char **argv)
{
    CLI::App app("Stand-in for a plain service.");
    Bergamotramp::StandinPlainSettings settings;
    std::int64_t delay = 0;
    app.add_option("--port", settings.port, "Port on 127.0.0.1, 0 for a free one");
    app.add_option("--delay-ms", delay, "Time until the response to a call, milliseconds");
    CLI11_PARSE(app, argc, argv);
    settings.delay = absl::Milliseconds(delay);
    settings.onCrash = [] { ::_exit(70); };
    const sigset_t signals = Bergamotramp::blockTerminationSignals();
    try {
        const Bergamotramp::StandinPlain plain(settings);
        Bergamotramp::printAddressAndWait(plain.address(), signals);
    } catch (const std::exception &error) {
        std::cerr << "standin-plain: " << error.what() << '\n';
        return 1;
    }
    return 0;
}
