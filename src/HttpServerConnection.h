#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "HttpServer.h"
#include "TcpStream.h"

namespace Bergamotramp {

/** One connection of a caller: reads one request at a time and sends its response. */
class HttpServerConnection : public std::enable_shared_from_this<HttpServerConnection>
{
public:
    HttpServerConnection(HttpServer &server, std::shared_ptr<TcpStream> stream);

    void start();
    /** Closes the connection if no request is under way. */
    void closeIfIdle();

private:
    friend class HttpExchange;
    friend class HttpServer;

    void onData(std::string_view bytes);
    void onEnded(StreamEnd how);
    void parse();
    void refuse(int status);
    void sendContinue();
    void deliver();
    void beginResponse(HttpHead head, std::optional<std::size_t> length);
    void responseComplete();
    void waitForRequest();
    void close();
    [[nodiscard]] bool closesAfterResponse() const;

    HttpServer *server;
    std::shared_ptr<TcpStream> stream;
    std::unique_ptr<HttpRequestParser> parser;
    std::string unparsed;
    std::weak_ptr<HttpExchange> exchange;
    /** A request is under way until its response is complete. */
    bool busy = false;
    bool callerKeepsAlive = true;
    bool continueSent = false;
    LoopTimer timer;
};

} // namespace Bergamotramp
