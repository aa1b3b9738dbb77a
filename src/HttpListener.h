#pragma once

#include <cstddef>
#include <string>
#include <thread>

namespace httplib {
class Server;
}

namespace Bergamotramp {

/** Configures @p server for persistent connections, at most @p threads of which are served at the same time. */
void configureServer(httplib::Server &server, std::size_t threads);

/** Binds @p server to "IP:port" (port 0 selects a free port) and returns the bound address; throws ServerError if that fails. */
std::string bindServer(httplib::Server &server, const std::string &address);

/** Runs the bound @p server on a new thread, which is returned once the server accepts connections. */
std::thread listenOnThread(httplib::Server &server);

} // namespace Bergamotramp
