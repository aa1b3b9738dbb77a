#pragma once

#include <csignal>
#include <iostream>
#include <string>

namespace Bergamotramp {

/** Blocks SIGINT and SIGTERM; call it before any thread starts so that waitForEnd() receives them. */
inline sigset_t blockEndSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

/** Prints the line that tells a test the program's address, then waits for SIGINT or SIGTERM. */
inline void announceAndWait(const std::string &address, const sigset_t &signals)
{
    std::cout << "listening " << address << std::endl;
    int received = 0;
    sigwait(&signals, &received);
}

} // namespace Bergamotramp
