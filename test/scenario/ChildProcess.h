#pragma once

#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

#include <absl/time/time.h>

namespace Bergamotramp {

/** A process started by a test. The destructor kills it; the kernel kills it, too, when the test process dies. */
class ChildProcess
{
public:
    /**
     * Starts @p command and appends its standard output and standard error to @p logFile. Throws std::runtime_error when the log
     * cannot be opened or the process cannot be forked.
     */
    ChildProcess(std::vector<std::string> command, std::string logFile);
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    /** Waits for an output line that starts with @p prefix; nothing when the process ends or @p timeout expires first. */
    std::optional<std::string> waitForLine(const std::string &prefix, absl::Duration timeout);
    void sendSignal(int signal) const;
    /** Kills the process and waits for its end. */
    void kill();
    [[nodiscard]] bool alive();
    /** Exit code, or 128 plus the number of the signal that ended the process; nothing while it runs. */
    [[nodiscard]] std::optional<int> exitCode();
    [[nodiscard]] const std::string &logFile() const;
    [[nodiscard]] pid_t processId() const;

private:
    void reap(bool wait);

    std::string logPath;
    pid_t pid = -1;
    std::optional<int> exitStatus;
};

} // namespace Bergamotramp
