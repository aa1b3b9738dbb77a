#pragma once

#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

#include <absl/time/time.h>

namespace Bergamotramp {

/** One process that a scenario started. The destructor ends it; it also ends when the scenario's process dies. */
class ChildProcess
{
public:
    /** Starts @p command with its output in @p logFile; throws std::runtime_error. */
    ChildProcess(std::vector<std::string> command, std::string logFile);
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    /** Waits for a line of its output that starts with @p start; nothing when the process ends or the time is over. */
    std::optional<std::string> waitForLine(const std::string &start, absl::Duration limit);
    void sendSignal(int signal) const;
    /** Kills the process and waits for its end. */
    void kill();
    [[nodiscard]] bool alive();
    /** Exit code, or 128 and the number of the signal that ended it. */
    [[nodiscard]] std::optional<int> exitCode();
    [[nodiscard]] const std::string &logFile() const;

private:
    void reap(bool wait);

    std::string log;
    pid_t pid = -1;
    std::optional<int> ended;
};

} // namespace Bergamotramp
