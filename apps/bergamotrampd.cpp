#include <csignal>
#include <iostream>
#include <thread>

#include <CLI/CLI.hpp>
#include <glog/logging.h>

#include "Host.h"

namespace {

constexpr int exitFailed = 1;
constexpr int exitInvalid = 2;

/** Blocks the signals that request a planned shutdown, so that sigwait receives them. */
sigset_t blockShutdownSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

void run(const Bergamotramp::HostSettings &settings)
{
    const sigset_t signals = blockShutdownSignals();
    std::signal(SIGPIPE, SIG_IGN);
    Bergamotramp::Host host(settings);
    std::thread waiter([&host, signals] {
        int signal = 0;
        sigwait(&signals, &signal);
        host.startDrain();
    });
    waiter.detach();
    std::cout << "listening " << host.callerAddress() << ' ' << host.adminAddress() << std::endl;
    host.waitUntilDrained();
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Entry host of bergamotramp.");
    std::string settingsFile;
    bool checkOnly = false;
    app.add_option("--settings", settingsFile, "Settings file (JSON)")->required();
    app.add_flag("--check-settings", checkOnly, "Check the settings file and exit");
    CLI11_PARSE(app, argc, argv);
    google::InitGoogleLogging(argv[0]);
    FLAGS_logtostderr = true;
    try {
        const Bergamotramp::HostSettings settings = Bergamotramp::HostSettings::load(settingsFile);
        if (checkOnly) {
            std::cout << settingsFile << ": ok\n";
            return 0;
        }
        run(settings);
        return 0;
    } catch (const Bergamotramp::SettingsError &error) {
        std::cerr << "bergamotrampd: " << error.what() << '\n';
        return exitInvalid;
    } catch (const std::exception &error) {
        std::cerr << "bergamotrampd: " << error.what() << '\n';
        return exitFailed;
    }
}
