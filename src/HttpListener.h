#pragma once

#include <cstddef>
#include <string>
#include <thread>

namespace httplib {
class Server;
}

namespace Bergamotramp {

/** Prepares @p server for kept connections, with at most @p threads of them served at once. */
void configureServer(httplib::Server &server, std::size_t threads);

/** Binds @p server to "IP:port" (port 0 for a free one) and returns the bound address; throws ServerError. */
std::string bindServer(httplib::Server &server, const std::string &address);

/** Serves @p server, which is bound, on a thread of its own; returns once it accepts connections. */
std::thread listenOnThread(httplib::Server &server);

} // namespace Bergamotramp
