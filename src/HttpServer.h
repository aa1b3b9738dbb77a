#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>

#include <absl/time/time.h>

#include "EventLoop.h"
#include "HttpMessage.h"
#include "HttpParser.h"

namespace Bergamotramp {

class HttpServerConnection;

/** One request that a caller sent, and the response to it. */
class HttpExchange
{
public:
    HttpExchange(std::shared_ptr<HttpServerConnection> connection, HttpRequest request, absl::Time received);

    [[nodiscard]] const HttpRequest &request() const;
    /** When the whole request had been read. */
    [[nodiscard]] absl::Time received() const;
    /** Calls @p left when the caller closes its connection before the response is complete. */
    void onCallerLeft(std::function<void()> left);

    /** Sends a complete response. */
    void respond(const HttpResponse &response);
    /** Sends status and header fields; the body follows in pieces of unknown total length. */
    void startBody(const HttpHead &head);
    void sendBody(std::string_view bytes);
    void finishBody();
    /** Ends the connection so that the response doesn't look complete. */
    void abort();
    /** Whether a response has begun. */
    [[nodiscard]] bool started() const;
    /** Whether nothing can be sent any more. */
    [[nodiscard]] bool ended() const;

private:
    friend class HttpServerConnection;

    void complete();

    std::shared_ptr<HttpServerConnection> connection;
    HttpRequest callerRequest;
    absl::Time receivedAt;
    std::function<void()> left;
    bool responseStarted = false;
};

/** Bounds on what a caller may send and how long it may take. */
struct HttpServerBounds {
    HttpBounds message;
    /** For the head of a request, from its first byte. */
    absl::Duration headTimeout = absl::Seconds(3);
    absl::Duration idleTimeout = absl::Seconds(15);

    bool operator==(const HttpServerBounds &) const = default;
};

/** Accepts connections on one address and hands on the requests. */
class HttpServer
{
public:
    using Handler = std::function<void(const std::shared_ptr<HttpExchange> &)>;

    /** Binds @p address; throws std::runtime_error when that fails. */
    HttpServer(EventLoop &loop, const std::string &address, std::size_t maxConnections, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /** The bound address, with the port that was chosen. */
    [[nodiscard]] std::string address() const;
    /** Bounds of requests that begin from now on. */
    void setBounds(const HttpServerBounds &bounds);
    /** Announces the end of the connection in each response from now on. */
    void closeAfterResponses();
    /** Accepts no new connection; open ones go on. */
    void stopAccepting();
    /** Closes the connections without a request. */
    void closeIdle();
    [[nodiscard]] std::size_t connections() const;

private:
    friend class HttpServerConnection;
    struct Acceptor;

    void accept();

    EventLoop &loop;
    std::unique_ptr<Acceptor> acceptor;
    std::size_t maxConnections;
    Handler handler;
    HttpServerBounds bounds;
    bool closing = false;
    std::set<std::shared_ptr<HttpServerConnection>> open;
    LoopTimer acceptPause;
};

} // namespace Bergamotramp
