#include "Cli.h"

#include <algorithm>
#include <ostream>

#include <CLI/CLI.hpp>

namespace Bergamotramp {

namespace {

void addCommands(CLI::App &app, CommandContext &context)
{
    app.require_subcommand(1);
    addPublishCommand(app, context);
    addAdminCommands(app, context);
    addJobCommand(app, context);
    addRequestCommand(app, context);
    addTimelineCommand(app, context);
    addLoadCommand(app, context);
    app.footer("Each command has its own help: bergamotramp COMMAND --help");
}

int report(CommandContext &context, ExitCode code, const std::string &message)
{
    if (context.jsonOutput()) {
        context.out() << nlohmann::json({{"error", message}, {"exit_code", static_cast<int>(code)}}).dump() << '\n';
    }
    context.err() << "bergamotramp: " << message << '\n';
    return static_cast<int>(code);
}

} // namespace

int runCli(const std::vector<std::string> &arguments, const CliEnvironment &environment)
{
    CommandContext context(environment);
    CLI::App app("Command line of bergamotramp: publishes services, sends requests and jobs, and shows the state of the hosts.", "bergamotramp");
    addCommands(app, context);
    // CLI11 consumes the vector of arguments from its end.
    std::vector<std::string> reversed(arguments.rbegin(), arguments.rend());
    try {
        app.parse(reversed);
        context.action();
        return static_cast<int>(ExitCode::Ok);
    } catch (const CLI::ParseError &error) {
        const int code = app.exit(error, context.out(), context.err());
        return code == 0 ? 0 : static_cast<int>(ExitCode::InvalidInput);
    } catch (const CliError &error) {
        return report(context, error.code(), error.what());
    } catch (const std::exception &error) {
        return report(context, ExitCode::Failed, error.what());
    }
}

} // namespace Bergamotramp
