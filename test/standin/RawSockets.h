#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Asio.h"
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

/** Accepts connections and responds to each piece of a request with fixed bytes. */
class FixedResponseServer
{
public:
    FixedResponseServer(EventLoop &loop, std::string response);

    [[nodiscard]] std::string address() const;
    /** Closes all connections. */
    void closeConnections();
    /** Sends @p bytes on the connection with this number, in the order of their acceptance; does nothing if it is closed. */
    void writeTo(int connection, const std::string &bytes);

    EventLoop &loop;
    std::string response;
    bool closeAfterResponse = false;
    int accepted = 0;
    int requests = 0;
    std::optional<StreamEnd> lastEnd;

private:
    void accept();

    asio::ip::tcp::acceptor acceptor;
    std::vector<std::shared_ptr<TcpStream>> streams;
};

} // namespace Bergamotramp
