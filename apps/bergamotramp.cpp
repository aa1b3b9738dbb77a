#include <iostream>

#include <unistd.h>

#include "Cli.h"
#include "StandinText.h"

int main(int argc, char **argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    const Bergamotramp::CliEnvironment environment{std::cout, std::cerr, isatty(STDOUT_FILENO) != 0, Bergamotramp::standinAnswer};
    return Bergamotramp::runCli(arguments, environment);
}
