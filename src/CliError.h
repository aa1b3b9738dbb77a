#pragma once

#include <stdexcept>
#include <string>

namespace Bergamotramp {

/** Exit codes of the command line. */
enum class ExitCode : int {
    Ok = 0,
    /** The operation failed. */
    Failed = 1,
    /** Usage error or invalid input; nothing was sent. */
    InvalidInput = 2,
    /** The system holds something else under the same key or generation. */
    Conflict = 3,
    /** No host could be reached; nothing was run. */
    Unreachable = 4,
    /** The request was sent and its outcome isn't known. */
    OutcomeUnknown = 5,
};

/** Ends a command; the message is for the operator. */
class CliError : public std::runtime_error
{
public:
    CliError(ExitCode code, const std::string &message) : std::runtime_error(message), exitCode(code)
    {
    }

    [[nodiscard]] ExitCode code() const
    {
        return this->exitCode;
    }

private:
    ExitCode exitCode;
};

} // namespace Bergamotramp
