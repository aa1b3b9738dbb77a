#pragma once

#include <functional>
#include <iosfwd>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "CliError.h"
#include "EntryDirectory.h"
#include "HostClient.h"

namespace CLI {
class App;
}

namespace Bergamotramp {

/** Output streams and callbacks of one command-line run. */
struct CliEnvironment {
    std::ostream &out;
    std::ostream &err;
    /** Whether @p out is a terminal; progress bars are drawn only there. */
    bool outIsTerminal = false;
    /** Returns the completion that the engine generates for a prompt and a token limit; empty when the program does not know it. */
    std::function<std::string(const std::string &prompt, std::int64_t maxTokens)> expectedText;
};

/** Options shared by the commands, and the host clients created from them. */
class CommandContext
{
public:
    explicit CommandContext(CliEnvironment environment);

    /** Adds --output to a command. */
    void addOutputOption(CLI::App &command);
    /** Adds --entry and --config to a command that calls the caller interface. */
    void addEntryOptions(CLI::App &command);
    /** Adds --admin and --config to a command that calls the admin interface. */
    void addAdminOptions(CLI::App &command);

    /** Addresses from the options, or else from the configuration file. Throws CliError when there are none. */
    [[nodiscard]] std::vector<std::string> entrySeeds() const;
    [[nodiscard]] std::vector<std::string> adminAddresses() const;
    /** Client for the entry hosts; created on first use. */
    HostClient &entryClient();
    EntryDirectory &entryDirectory();
    /** Client for the admin addresses; created on first use. */
    HostClient &adminClient();

    [[nodiscard]] bool jsonOutput() const;
    std::ostream &out();
    std::ostream &err();
    [[nodiscard]] const CliEnvironment &environment() const;

    /** Runs the command that the parser selected. */
    std::function<void()> action;

private:
    [[nodiscard]] std::vector<std::string> resolveAddresses(const std::vector<std::string> &arguments, const char *configKey, const char *option) const;

    CliEnvironment cliEnvironment;
    std::string outputFormat = "text";
    std::string configFile;
    std::vector<std::string> entryArguments;
    std::vector<std::string> adminArguments;
    std::unique_ptr<EntryDirectory> directory;
    std::unique_ptr<HostClient> entryHosts;
    std::unique_ptr<HostClient> adminHosts;
};

/** Reads a whole file, or standard input for "-". Throws CliError when the file can't be read. */
std::string readInputFile(const std::string &file);

/** Returns the array in a response: the response itself, its field @p name, or else its first field that is an array. */
nlohmann::json extractList(const nlohmann::json &response, const std::string &name);

/** Formats JSON objects as an aligned table: @p leadingColumns first, then the other scalar fields. Arrays are shown by their length. */
std::string formatTable(const nlohmann::json &objects, const std::vector<std::string> &leadingColumns);

} // namespace Bergamotramp
