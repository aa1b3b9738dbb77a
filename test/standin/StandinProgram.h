#pragma once

#include <csignal>
#include <iostream>
#include <string>

namespace Bergamotramp {

/** Blocks SIGINT and SIGTERM. Must be called before any thread starts, so that only printAddressAndWait() receives them. */
inline sigset_t blockTerminationSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

/** Prints the line from which a test reads the program's address, then waits for SIGINT or SIGTERM. */
inline void printAddressAndWait(const std::string &address, const sigset_t &signals)
{
    std::cout << "listening " << address << std::endl;
    int received = 0;
    sigwait(&signals, &received);
}

} // namespace Bergamotramp
