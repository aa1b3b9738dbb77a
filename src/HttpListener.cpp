#include "HttpListener.h"

#include <httplib.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include "CallerServer.h"

namespace Bergamotramp {

namespace {

constexpr std::size_t maxKeepAliveRequests = 1'000'000;
// stop() waits up to this time for idle connections, and the thread of each idle connection polls its socket until then.
constexpr time_t keepAliveSeconds = 5;
constexpr time_t readTimeoutSeconds = 30;
constexpr time_t writeTimeoutSeconds = 30;

} // namespace

void configureServer(httplib::Server &server, std::size_t threads)
{
    server.new_task_queue = [threads] { return new httplib::ThreadPool(threads); };
    server.set_keep_alive_max_count(maxKeepAliveRequests);
    server.set_keep_alive_timeout(keepAliveSeconds);
    server.set_read_timeout(readTimeoutSeconds);
    server.set_write_timeout(writeTimeoutSeconds);
    server.set_tcp_nodelay(true);
    // The default of httplib sets SO_REUSEPORT, which lets a second process bind the same port without an error.
    server.set_socket_options([](socket_t socket) {
        const int enabled = 1;
        setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    });
}

std::string bindServer(httplib::Server &server, const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    const std::string ip = address.substr(0, colon);
    int port = 0;
    if (colon == std::string::npos || !absl::SimpleAtoi(address.substr(colon + 1), &port)) {
        throw ServerError(absl::StrCat("\"", address, "\" is not an address of the form IP:port"));
    }
    if (port == 0) {
        port = server.bind_to_any_port(ip);
    } else if (!server.bind_to_port(ip, port)) {
        port = -1;
    }
    if (port <= 0) {
        throw ServerError(absl::StrCat("cannot listen on ", address, ": the address is in use or does not belong to this machine"));
    }
    return absl::StrCat(ip, ":", port);
}

std::thread listenOnThread(httplib::Server &server)
{
    std::thread thread([&server] { server.listen_after_bind(); });
    // A stop() before the accept loop runs would have no effect, and a join of the thread would then block forever.
    while (!server.is_running()) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return thread;
}

} // namespace Bergamotramp
