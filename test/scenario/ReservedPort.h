#pragma once

#include <string>

namespace Bergamotramp {

/**
 * A port of 127.0.0.1 that no other process gets as a free one. A bound socket that never listens holds it, so that a
 * program whose settings name it can listen on it, also when it is started again.
 */
class ReservedPort
{
public:
    /** Throws std::runtime_error. */
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
