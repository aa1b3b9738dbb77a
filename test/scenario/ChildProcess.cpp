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
constexpr int signalBase = 128;
constexpr int execFailed = 127;

[[noreturn]] void runChild(const std::vector<char *> &arguments, int log, pid_t parent)
{
    // The parent may have died before the call took effect.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) {
        ::_exit(execFailed);
    }
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    ::execv(arguments[0], arguments.data());
    ::_exit(execFailed);
}

} // namespace

ChildProcess::ChildProcess(std::vector<std::string> command, std::string logFile) : log(std::move(logFile))
{
    std::vector<char *> arguments;
    for (std::string &argument : command) {
        arguments.push_back(argument.data());
    }
    arguments.push_back(nullptr);
    const int output = ::open(this->log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    if (output < 0) {
        throw std::runtime_error(this->log + ": cannot be written");
    }
    const pid_t parent = ::getpid();
    this->pid = ::fork();
    if (this->pid == 0) {
        runChild(arguments, output, parent);
    }
    ::close(output);
    if (this->pid < 0) {
        throw std::runtime_error("cannot start " + command[0]);
    }
}

ChildProcess::~ChildProcess()
{
    this->kill();
}

std::optional<std::string> ChildProcess::waitForLine(const std::string &start, absl::Duration limit)
{
    const absl::Time end = absl::Now() + limit;
    while (true) {
        const bool running = this->alive();
        std::ifstream stream(this->log);
        for (std::string line; std::getline(stream, line);) {
            // A line without its end may still grow.
            if (line.starts_with(start) && !stream.eof()) {
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
    if (!this->ended) {
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
    return !this->ended;
}

std::optional<int> ChildProcess::exitCode()
{
    this->reap(false);
    return this->ended;
}

const std::string &ChildProcess::logFile() const
{
    return this->log;
}

void ChildProcess::reap(bool wait)
{
    int status = 0;
    if (this->ended || ::waitpid(this->pid, &status, wait ? 0 : WNOHANG) != this->pid) {
        return;
    }
    this->ended = WIFEXITED(status) ? WEXITSTATUS(status) : signalBase + WTERMSIG(status);
}

} // namespace Bergamotramp
