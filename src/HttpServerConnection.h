#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "HttpServer.h"
#include "TcpStream.h"

namespace Bergamotramp {

/** One connection from a caller. Reads one request at a time and sends its response. */
class HttpServerConnection : public std::enable_shared_from_this<HttpServerConnection>
{
public:
    HttpServerConnection(HttpServer &server, std::shared_ptr<TcpStream> stream);

    void start();
    /** Closes the connection if no request is in progress or partly received. */
    void closeIfIdle();
    void rejectIfPartlyReceived(const HttpResponse &response);
    void answerIfInProgress(const HttpResponse &response);

private:
    friend class HttpExchange;
    friend class HttpServer;

    void onData(std::string_view bytes);
    void onEnded(StreamEnd how);
    void parseRequest();
    /** Responds with @p status and closes the connection. */
    void rejectRequest(int status);
    void sendAndClose(const HttpResponse &response);
    /** Restarts the idle timeout for the body and, once per request, sends "100 Continue" if the caller expects it. */
    void onBodyPending();
    void dispatchRequest();
    void sendResponseHead(HttpHead head, std::optional<std::size_t> length);
    void onResponseComplete();
    void waitForRequest();
    void close();
    [[nodiscard]] bool shouldCloseAfterResponse() const;

    HttpServer *server;
    std::shared_ptr<TcpStream> stream;
    std::unique_ptr<HttpRequestParser> parser;
    std::string unparsed;
    std::weak_ptr<HttpExchange> currentExchange;
    /** Whether a complete request was received whose response is not complete yet. */
    bool requestInProgress = false;
    /** Whether bytes of the next request have been received. */
    bool requestBegun = false;
    bool keepConnectionOpen = true;
    bool continueHandled = false;
    LoopTimer timer;
};

} // namespace Bergamotramp
