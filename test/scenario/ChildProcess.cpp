#include "ChildProcess.h"

#include <csignal>
#include <fstream>
#include <stdexcept>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <absl/time/clock.h>

namespace Bergamotramp {

namespace {

constexpr absl::Duration pollPeriod = absl::Milliseconds(10);
constexpr int signalExitCodeBase = 128;
constexpr int startFailedExitCode = 127;

[[noreturn]] void runChild(const std::vector<char *> &arguments, int log, pid_t parent)
{
    // If the parent died before prctl took effect, no signal is sent for its death.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) {
        ::_exit(startFailedExitCode);
    }
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    ::execv(arguments[0], arguments.data());
    ::_exit(startFailedExitCode);
}

} // namespace

ChildProcess::ChildProcess(std::vector<std::string> command, std::string logFile) : logPath(std::move(logFile))
{
    std::vector<char *> arguments;
    for (std::string &argument : command) {
        arguments.push_back(argument.data());
    }
    arguments.push_back(nullptr);
    const int output = ::open(this->logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    if (output < 0) {
        throw std::runtime_error(this->logPath + ": cannot be opened for writing");
    }
    const pid_t parent = ::getpid();
    this->pid = ::fork();
    if (this->pid == 0) {
        runChild(arguments, output, parent);
    }
    ::close(output);
    if (this->pid < 0) {
        throw std::runtime_error("cannot fork a process for " + command[0]);
    }
}

ChildProcess::~ChildProcess()
{
    this->kill();
}

std::optional<std::string> ChildProcess::waitForLine(const std::string &prefix, absl::Duration timeout)
{
    const absl::Time end = absl::Now() + timeout;
    while (true) {
        const bool running = this->alive();
        std::ifstream stream(this->logPath);
        for (std::string line; std::getline(stream, line);) {
            // A line at the end of the file may be incomplete: the process may still be writing it.
            if (line.starts_with(prefix) && !stream.eof()) {
                return line;
            }
        }
        if (!running || absl::Now() > end) {
            return std::nullopt;
        }
        absl::SleepFor(pollPeriod);
    }
}

void ChildProcess::sendSignal(int signal) const
{
    if (!this->exitStatus) {
        ::kill(this->pid, signal);
    }
}

void ChildProcess::kill()
{
    this->sendSignal(SIGKILL);
    this->reap(true);
}

bool ChildProcess::alive()
{
    this->reap(false);
    return !this->exitStatus;
}

std::optional<int> ChildProcess::exitCode()
{
    this->reap(false);
    return this->exitStatus;
}

const std::string &ChildProcess::logFile() const
{
    return this->logPath;
}

pid_t ChildProcess::processId() const
{
    return this->pid;
}

void ChildProcess::reap(bool wait)
{
    int status = 0;
    if (this->exitStatus || ::waitpid(this->pid, &status, wait ? 0 : WNOHANG) != this->pid) {
        return;
    }
    this->exitStatus = WIFEXITED(status) ? WEXITSTATUS(status) : signalExitCodeBase + WTERMSIG(status);
}

} // namespace Bergamotramp
