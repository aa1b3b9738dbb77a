#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <httplib.h>

namespace Bergamotramp {

/** An accepted connection, passed to the request handler. Valid until the handler returns and the response has been sent. */
class StandinConnection : public httplib::Stream
{
public:
    explicit StandinConnection(int descriptor);

    /** Closes the connection without sending the response or the rest of it. Thread-safe. */
    void drop();
    /** Whether the client has closed its side of the connection. */
    [[nodiscard]] bool peerClosed() const;
    /** Waits for a request; returns false when the connection has ended. */
    bool waitForRequest();

    bool is_readable() const override;
    bool is_writable() const override;
    ssize_t read(char *data, std::size_t size) override;
    ssize_t write(const char *data, std::size_t size) override;
    void get_remote_ip_and_port(std::string &ip, int &port) const override;
    void get_local_ip_and_port(std::string &ip, int &port) const override;
    socket_t socket() const override;

private:
    int descriptor;
    std::string buffer;
    std::size_t consumed = 0;
};

/**
 * HTTP server of a stand-in on 127.0.0.1. It uses cpp-httplib for the handling of requests but manages the connections
 * itself, because faults such as a lost response need control over the connection. Each open connection occupies a thread.
 */
class StandinServer
{
public:
    using Handler = std::function<void(const httplib::Request &, httplib::Response &, StandinConnection &)>;

    /** Binds the port and starts; 0 selects a free port. Throws std::runtime_error when the port can't be bound. */
    StandinServer(int port, Handler handler);
    ~StandinServer();
    StandinServer(const StandinServer &) = delete;
    StandinServer &operator=(const StandinServer &) = delete;

    /** "127.0.0.1:port". */
    [[nodiscard]] std::string address() const;
    /** Closes every open connection without a response; new ones are still accepted. */
    void dropConnections();
    /** Stops accepting connections, closes the open ones and waits for the handlers to return. */
    void stop();

private:
    class Listener;

    std::unique_ptr<Listener> listener;
    std::thread thread;
    int port = 0;
};

/** Sets the status and a JSON body. */
void setJsonResponse(httplib::Response &response, int status, const std::string &json);

} // namespace Bergamotramp
