#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Asio.h"
#include "EventLoop.h"
#include "TcpStream.h"

namespace Bergamotramp {

/** What a FixedResponseServer does with a connection once it has sent the response. */
enum class ConnectionEnd {
    KeepOpen,
    Close,
    /** Resets the connection some time after the response, so that the client has read the response before. */
    Reset,
};

/** Accepts connections and responds to each piece of received bytes with fixed bytes, which need not be valid HTTP. */
class FixedResponseServer
{
public:
    FixedResponseServer(EventLoop &loop, std::string response, ConnectionEnd connectionEnd = ConnectionEnd::KeepOpen);

    [[nodiscard]] std::string address() const;
    /** Closes all connections. */
    void closeConnections();
    /** Sends @p bytes on the connection with this number, in the order of their acceptance; does nothing if it is closed. */
    void writeTo(int connection, const std::string &bytes);

    EventLoop &loop;
    std::string response;
    ConnectionEnd connectionEnd;
    /** Whether it reads on after the first bytes of a connection. */
    bool readsOn = true;
    int accepted = 0;
    int requests = 0;
    /** How the peer ended the connection that ended last. */
    std::optional<StreamEnd> lastEnd;

private:
    void accept();
    void respond(TcpStream &stream);

    asio::ip::tcp::acceptor acceptor;
    std::vector<std::shared_ptr<TcpStream>> streams;
    std::vector<LoopTimer> resetTimers;
};

} // namespace Bergamotramp
