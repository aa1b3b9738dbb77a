#pragma once

#include <csignal>
#include <functional>
#include <iostream>
#include <string>

#include "Asio.h"
#include "EventLoop.h"
#include "HttpServer.h"

namespace Bergamotramp {

/** Prints the line from which a test reads the program's addresses, then runs the loop until SIGINT or SIGTERM. */
inline void printAddressesAndRun(EventLoop &loop, const std::string &addresses)
{
    std::signal(SIGPIPE, SIG_IGN);
    asio::signal_set signals(loop.context(), SIGINT, SIGTERM);
    signals.async_wait([&loop](const boost::system::error_code &, int) { loop.stop(); });
    std::cout << "listening " << addresses << std::endl;
    loop.run();
}

} // namespace Bergamotramp
