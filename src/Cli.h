#pragma once

#include <string>
#include <vector>

#include "CommandContext.h"

namespace Bergamotramp {

/** Runs the command line with the arguments after the program name and returns the exit code. */
int runCli(const std::vector<std::string> &arguments, const CliEnvironment &environment);

/** Each function adds one command or a group of related commands to the parser. @p context must outlive the parser. */
void addPublishCommand(CLI::App &app, CommandContext &context);
void addAdminCommands(CLI::App &app, CommandContext &context);
void addJobCommand(CLI::App &app, CommandContext &context);
void addRequestCommand(CLI::App &app, CommandContext &context);
void addTimelineCommand(CLI::App &app, CommandContext &context);
void addLoadCommand(CLI::App &app, CommandContext &context);

} // namespace Bergamotramp
