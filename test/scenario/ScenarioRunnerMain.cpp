#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include <CLI/CLI.hpp>
#include <unistd.h>

#include "ScenarioRunner.h"

namespace {

using namespace Bergamotramp;

/** Creates a temporary folder for the settings, logs and stored objects of one scenario. */
std::string makeScenarioFolder()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "bergamotramp-scenario-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr) {
        throw ScenarioError(pattern + ": cannot be created");
    }
    return pattern;
}

bool runFile(const FleetPrograms &programs, const std::string &file, bool keepFolder)
{
    std::ifstream stream(file);
    if (!stream) {
        throw ScenarioError(file + ": cannot be read");
    }
    std::ostringstream text;
    text << stream.rdbuf();
    const std::vector<Statement> statements = parseScenario(file, text.str());
    const std::string folder = makeScenarioFolder();
    const std::string report = ScenarioRunner(programs, folder).run(file, statements);
    if (report.empty() || !keepFolder) {
        std::filesystem::remove_all(folder);
    }
    if (report.empty()) {
        std::cout << file << ": all guarantees held" << std::endl;
        return true;
    }
    std::cout << file << ": failed" << (keepFolder ? "; settings and logs are in " + folder : "") << "\n" << report << std::endl;
    return false;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Runs scenarios with real processes and checks the guarantees.");
    FleetPrograms programs;
    std::vector<std::string> files;
    app.add_option("--daemon", programs.daemon, "Path of bergamotrampd")->required();
    app.add_option("--standins", programs.standins, "Folder of the stand-in programs")->required();
    bool discard = false;
    app.add_flag("--discard", discard, "Remove settings and logs also when a scenario fails");
    app.add_option("FILE", files, "Scenario files")->required();
    CLI11_PARSE(app, argc, argv);
    bool allHeld = true;
    try {
        for (const std::string &file : files) {
            allHeld = runFile(programs, file, !discard) && allHeld;
        }
    } catch (const std::exception &error) {
        std::cerr << "scenario-runner: " << error.what() << '\n';
        return 2;
    }
    return allHeld ? 0 : 1;
}
