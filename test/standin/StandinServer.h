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

/** One accepted connection, as a handler sees it. Valid while its request is handled. */
class StandinConnection : public httplib::Stream
{
public:
    explicit StandinConnection(int descriptor);

    /** Closes the connection without (the rest of) an answer. Thread-safe. */
    void drop();
    /** Whether the client has closed its side. */
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
 * HTTP server of a stand-in on 127.0.0.1. It runs cpp-httplib's request handling on connections of its own,
 * because faults such as a lost answer need control over the connection. One thread serves one connection.
 */
class StandinServer
{
public:
    using Handler = std::function<void(const httplib::Request &, httplib::Response &, StandinConnection &)>;

    /** Binds and starts; port 0 takes a free one. Throws std::runtime_error when the port is taken. */
    StandinServer(int port, Handler handler);
    ~StandinServer();
    StandinServer(const StandinServer &) = delete;
    StandinServer &operator=(const StandinServer &) = delete;

    /** "127.0.0.1:port". */
    [[nodiscard]] std::string address() const;
    /** Closes every open connection without an answer; new ones are accepted. */
    void dropConnections();
    /** Stops accepting, drops the connections and waits for the handlers. */
    void stop();

private:
    class Listener;

    std::unique_ptr<Listener> listener;
    std::thread thread;
    int port = 0;
};

/** Sets a JSON answer. */
void answerJson(httplib::Response &response, int status, const std::string &json);

} // namespace Bergamotramp
