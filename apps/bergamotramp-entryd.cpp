#include <csignal>
#include <iostream>

#include <unistd.h>

#include <CLI/CLI.hpp>

#include "Asio.h"
#include "DiskHost.h"
#include "EntryHost.h"
#include "EntrySettings.h"
#include "Platform.h"

namespace {

constexpr int exitFailed = 1;
constexpr int exitInvalid = 2;

using namespace Bergamotramp;

/** Calls @p stop for SIGTERM and SIGINT, and @p reload for SIGHUP. */
void handleSignals(asio::signal_set &signals, const std::function<void()> &stop, const std::function<void()> &reload)
{
    signals.async_wait([&signals, stop, reload](const boost::system::error_code &error, int signal) {
        if (error) {
            return;
        }
        if (signal == SIGHUP) {
            reload();
        } else {
            stop();
        }
        handleSignals(signals, stop, reload);
    });
}

void reloadSettings(const std::string &file, JsonLog &log, EntryHost &host)
{
    try {
        host.reload(EntrySettings::load(file));
    } catch (const EntrySettingsError &error) {
        // The current settings stay in effect.
        log.write("settings_rejected", {{"error", error.what()}});
    }
}

void runHost(const std::string &file, const EntrySettings &settings)
{
    std::signal(SIGPIPE, SIG_IGN);
    EventLoop loop;
    EntryMetrics metrics;
    JsonLog log(loop, settings.name, STDOUT_FILENO);
    loop.setErrorHandler([&log](const std::string &error) { log.write("callback_failed", {{"error", error}}); });
    log.write("started", {{"role", settings.role == HostRole::Entry ? "entry" : "disk"}, {"dataCentre", settings.dataCentre}});
    asio::signal_set signals(loop.context(), SIGTERM, SIGINT, SIGHUP);
    PlatformAdapter platform = connectPlatform(loop, settings.storeAddress, metrics);
    if (settings.role == HostRole::Disk) {
        const DiskHost host(loop, settings, std::move(platform), log, metrics);
        handleSignals(
            signals, [&loop] { loop.stop(); }, [] {});
        loop.run();
        log.write("stopped", {});
        log.flush();
        return;
    }
    EntryHost host(loop, settings, std::move(platform), log, metrics, [&loop] { loop.stop(); });
    handleSignals(
        signals, [&host] { host.stop(); }, [&file, &log, &host] { reloadSettings(file, log, host); });
    loop.run();
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Runs one host of a bergamotramp fleet.");
    std::string settingsFile;
    bool checkOnly = false;
    app.add_option("--settings", settingsFile, "Settings file (JSON)")->required();
    app.add_flag("--check-settings", checkOnly, "Check the settings file and exit");
    CLI11_PARSE(app, argc, argv);
    try {
        const EntrySettings settings = EntrySettings::load(settingsFile);
        if (checkOnly) {
            std::cout << settingsFile << ": ok\n";
            return 0;
        }
        runHost(settingsFile, settings);
        return 0;
    } catch (const EntrySettingsError &error) {
        std::cerr << "bergamotramp-entryd: " << error.what() << '\n';
        return exitInvalid;
    } catch (const std::exception &error) {
        std::cerr << "bergamotramp-entryd: " << error.what() << '\n';
        return exitFailed;
    }
}
