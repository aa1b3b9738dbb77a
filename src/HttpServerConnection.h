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
    /** Registers with the budget of the server; returns whether the connection is allowed. */
    bool registerWithBudget();
    /** Closes the connection if no request is in progress or partly received. */
    void closeIfIdle();
    void rejectIfPartlyReceived(const HttpResponse &response);
    void answerIfInProgress(const HttpResponse &response);

private:
    friend class HttpExchange;
    friend class HttpServer;

    void onData(std::string_view bytes);
    void onSent(std::size_t bytes);
    /** Tells the budget what is held for this connection. */
    void updateBudget();
    void checkRate();
    void closeForLimit(CallerLimit limit);
    /** Ends a request whose response can't be delivered. */
    void dropResponse();
    /** Whether the body that the head announces may be read; responds and closes the connection otherwise. */
    bool admitBody();
    void onEnded(StreamEnd how);
    void parseRequest();
    /** Responds with @p status and closes the connection. */
    void rejectRequest(int status);
    void sendAndClose(const HttpResponse &response);
    /** Restarts the idle timeout for the body and, once per request, sends "100 Continue" if the caller expects it. Returns whether the body may be read. */
    bool onBodyPending();
    void dispatchRequest();
    void sendResponseHead(HttpHead head, std::optional<std::size_t> length);
    void onResponseComplete();
    void waitForRequest();
    void continueAfterResponse();
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
    /** Whether responses wait for a caller that does not read them, so that its next request is not handled. */
    bool waitingForReader = false;
    bool keepConnectionOpen = true;
    bool continueHandled = false;
    CallerBudget::Id budgetId = 0;
    /** Memory of the request in progress. */
    std::size_t requestBytes = 0;
    LeastRate bodyRate;
    LeastRate answerRate;
    LoopTimer timer;
};

} // namespace Bergamotramp
