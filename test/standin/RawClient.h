#pragma once

#include <memory>
#include <string>

#include "EventLoop.h"
#include "TcpStream.h"

namespace Bergamotramp {

/** Raw TCP connection that records the bytes it receives. */
class RawClient
{
public:
    /** Connects and runs the loop until the connection is open. */
    RawClient(EventLoop &loop, const std::string &address);

    std::shared_ptr<TcpStream> stream;
    std::string received;
    bool ended = false;
};

} // namespace Bergamotramp
