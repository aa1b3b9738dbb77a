#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include "ChildProcess.h"
#include "EventLoop.h"
#include "FixedResponseServer.h"
#include "ReservedPort.h"
#include "StandinObjectStore.h"
#include "StandinUpstream.h"

namespace Bergamotramp {

/** The limits of the test, from which its bounds follow. */
struct HostileLimits {
    /** `memoryMb` of the settings. */
    static constexpr std::size_t memoryMb = 64;
    /** What a host without callers uses; bench hosts use 13 MB. */
    static constexpr std::size_t idleMb = 16;
    /** `maxDescriptors` of the settings, and the limit of the process. */
    static constexpr std::size_t descriptors = 256;
    /** Largest body of the configuration, in bytes. */
    static constexpr std::size_t bodyBytes = 4 * 1024 * 1024;
    /** Largest head of the configuration, in bytes. */
    static constexpr std::size_t headBytes = 16 * 1024;
};

/** An entry daemon as a child process, with a store and upstreams on the event loop of the test. */
class HostileSite
{
public:
    /** Starts all and waits until the daemon answers an ordinary request; throws std::runtime_error if it does not. */
    HostileSite();

    [[nodiscard]] bool alive();
    /** Peak resident memory of the daemon, bytes; 0 if it has ended. */
    [[nodiscard]] std::size_t peakMemory() const;
    /** Open descriptors of the daemon; 0 if it has ended. */
    [[nodiscard]] std::size_t descriptors() const;
    /** Sends an ordinary request from 127.0.0.2 until it is answered with 200; false after many attempts. */
    bool ordinaryRequestIsAnswered();

    EventLoop loop;
    ReservedPort entry;
    ReservedPort ready;
    ReservedPort directory;
    ReservedPort control;
    ReservedPort metrics;

private:
    void writeObjects();
    void startDaemon();
    [[nodiscard]] std::string processFolder() const;

    ReservedPort peer;
    StandinObjectStore store;
    StandinUpstream plain;
    FixedResponseServer largeAnswer;
    FixedResponseServer longStream;
    std::string folder;
    std::unique_ptr<ChildProcess> daemon;
};

} // namespace Bergamotramp
