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
    /** The idempotency key belongs to another request, or the base generation is no longer the current one. */
    Conflict = 3,
    /** No host could be reached; nothing was run. */
    Unreachable = 4,
    /** The request was sent and its outcome is unknown. */
    OutcomeUnknown = 5,
};

/** Aborts a command with an exit code. The message is shown to the operator. */
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
