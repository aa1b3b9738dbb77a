#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>

#include <absl/time/time.h>

#include "CallerBudget.h"
#include "EventLoop.h"
#include "HttpMessage.h"
#include "HttpParser.h"

namespace Bergamotramp {

class HttpServerConnection;
class TcpStream;

/** Identifies a call between two hosts. The server repeats it in the response. */
constexpr const char *callIdField = "X-Call-Id";

/** One request from a caller and the response to it. */
class HttpExchange
{
public:
    HttpExchange(std::shared_ptr<HttpServerConnection> connection, HttpRequest request, absl::Time received);

    [[nodiscard]] const HttpRequest &request() const;
    /** When the complete request had been received. */
    [[nodiscard]] absl::Time received() const;
    /** Sets the function to call when the caller closes its connection before the response is complete. */
    void onCallerDisconnected(std::function<void()> callback);

    /** Sends the complete response. */
    void respond(const HttpResponse &response);
    /** Sends status and header fields. The body follows in chunks, with a total length that is not known in advance. */
    void startBody(const HttpHead &head);
    /** Sends a chunk of the body; aborts the response if too many bytes wait for a caller that does not read. */
    void sendBody(std::string_view bytes);
    void finishBody();
    /** Resets the connection so that the caller cannot take the response for a complete one. */
    void abort();
    /** Whether the head of the response has been sent. */
    [[nodiscard]] bool started() const;
    /** Whether the response is complete or aborted, or the caller has disconnected; nothing can be sent any more. */
    [[nodiscard]] bool ended() const;

private:
    friend class HttpServerConnection;

    void finishResponse();
    [[nodiscard]] HttpHead withCallId(HttpHead head) const;

    std::shared_ptr<HttpServerConnection> connection;
    HttpRequest callerRequest;
    absl::Time receivedAt;
    std::function<void()> disconnectHandler;
    bool responseStarted = false;
};

/** Size limits and timeouts of requests. */
struct HttpServerBounds {
    HttpBounds message;
    /** Longest time from the first byte of a request to the end of its head. */
    absl::Duration headTimeout = absl::Seconds(3);
    absl::Duration idleTimeout = absl::Seconds(15);

    bool operator==(const HttpServerBounds &) const = default;
};

/** HTTP server on an EventLoop. Accepts connections on one address and passes their requests to a handler. */
class HttpServer
{
public:
    using Handler = std::function<void(const std::shared_ptr<HttpExchange> &)>;

    /** Listens on @p address; throws std::runtime_error if that fails. Connections beyond @p maxConnections are reset. */
    HttpServer(EventLoop &loop, const std::string &address, std::size_t maxConnections, Handler handler);
    /** Counts what callers make this server hold, as @p callerClass of @p budget, and refuses and closes connections as it decides. */
    void useBudget(std::shared_ptr<CallerBudget> budget, CallerClass callerClass);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /** The bound address, with the actual port if port 0 was requested. */
    [[nodiscard]] std::string address() const;
    /** Sets limits and timeouts. The request that an open connection waits for or reads keeps the old size limits. */
    void setBounds(const HttpServerBounds &bounds);
    /**
     * From now on closes each connection after the response to the last request received on it, and says so in that response with
     * "Connection: close".
     */
    void closeAfterResponses();
    /** Stops accepting connections; open ones stay open. */
    void stopAccepting();
    /** Closes the connections on which no request is in progress or partly received. */
    void closeIdle();
    /** Answers each request that has been received in part with @p response and closes its connection. */
    void rejectPartlyReceived(const HttpResponse &response);
    /** Answers each request in progress whose response has not begun with @p response, and reports its caller as disconnected. */
    void answerInProgress(const HttpResponse &response);
    /** Number of open connections. */
    [[nodiscard]] std::size_t connections() const;

private:
    friend class HttpServerConnection;
    struct Acceptor;

    void accept();
    void addConnection(const std::shared_ptr<TcpStream> &stream);
    /** Closes the connections that are slower than the least rate. */
    void checkRates();

    EventLoop &loop;
    std::unique_ptr<Acceptor> acceptor;
    std::size_t maxConnections;
    Handler handler;
    HttpServerBounds bounds;
    bool closingAfterResponses = false;
    std::set<std::shared_ptr<HttpServerConnection>> openConnections;
    std::shared_ptr<CallerBudget> budget;
    CallerClass callerClass = CallerClass::Caller;
    LoopTimer acceptRetryTimer;
    LoopTimer rateTimer;
};

} // namespace Bergamotramp
