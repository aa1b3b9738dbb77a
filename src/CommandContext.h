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

/** The streams and hooks of one run of the command line. */
struct CliEnvironment {
    std::ostream &out;
    std::ostream &err;
    /** Whether @p out is a terminal, where progress is drawn. */
    bool terminal = false;
    /** Text that the engine answers to a prompt and a token limit; empty when unknown. */
    std::function<std::string(const std::string &prompt, std::int64_t maxTokens)> expectedText;
};

/** Options that all commands share, and the clients made from them. */
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

    /** Addresses from the options or the configuration file; throws CliError when there are none. */
    [[nodiscard]] std::vector<std::string> entrySeeds() const;
    [[nodiscard]] std::vector<std::string> adminAddresses() const;
    /** Client of the entries; made at the first call. */
    HostClient &entryClient();
    EntryDirectory &entryDirectory();
    /** Client of the admin addresses; made at the first call. */
    HostClient &adminClient();

    [[nodiscard]] bool jsonOutput() const;
    std::ostream &out();
    std::ostream &err();
    [[nodiscard]] const CliEnvironment &environment() const;

    /** The command that the parser selected. */
    std::function<void()> action;

private:
    [[nodiscard]] std::vector<std::string> addressesOf(const std::vector<std::string> &given, const char *configKey, const char *option) const;

    CliEnvironment surroundings;
    std::string output = "text";
    std::string configFile;
    std::vector<std::string> entries;
    std::vector<std::string> admins;
    std::unique_ptr<EntryDirectory> directory;
    std::unique_ptr<HostClient> entryCalls;
    std::unique_ptr<HostClient> adminCalls;
};

/** Reads a whole file, "-" for standard input; throws CliError. */
std::string readInputFile(const std::string &file);

/** The list in an answer: the answer itself, its field @p name, or else its first field that is a list. */
nlohmann::json listIn(const nlohmann::json &answer, const std::string &name);

/** Aligned text table of JSON objects: @p leading columns first, then the other scalar fields. Lists are shown by their length. */
std::string tableOf(const nlohmann::json &objects, const std::vector<std::string> &leading);

} // namespace Bergamotramp
