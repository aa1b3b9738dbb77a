#pragma once

#include <string>

namespace Bergamotramp {

/**
 * Reserves a port of 127.0.0.1: the system does not hand it out to other processes as a free port. A bound socket that never
 * listens holds the reservation, so a program that sets SO_REUSEADDR can listen on the port, also after a restart.
 */
class ReservedPort
{
public:
    /** Throws std::runtime_error when no port can be bound. */
    ReservedPort();
    ~ReservedPort();
    ReservedPort(ReservedPort &&other) noexcept;
    ReservedPort(const ReservedPort &) = delete;
    ReservedPort &operator=(const ReservedPort &) = delete;

    /** "127.0.0.1:port". */
    [[nodiscard]] std::string address() const;

private:
    int descriptor;
    int port = 0;
};

} // namespace Bergamotramp
