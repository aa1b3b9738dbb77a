#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include "EventLoop.h"
#include "HttpMessage.h"
#include "HttpParser.h"

namespace Bergamotramp {

/** Why a call failed. */
enum class HttpCallError {
    /** No connection could be opened, so the request was not sent. */
    NotSent,
    /** The connection ended after at least a part of the request was sent. */
    ConnectionLost,
    /** The peer sent bytes that are not a valid HTTP response, or a response over the size limits. */
    BadResponse,
};

/** Callbacks of a call. None is called after completed or failed, or after the call is cancelled. */
struct HttpCallEvents {
    /** Returns whether a response is the one to this call; other responses are skipped. Empty accepts every response. */
    std::function<bool(const HttpHead &)> matchesRequest;
    std::function<void(const HttpHead &)> head;
    std::function<void(std::string_view)> body;
    std::function<void()> completed;
    std::function<void(HttpCallError)> failed;
    /**
     * Returns, when the response is complete, whether a further copy of it could be told from the response to another request. If
     * not, the connection carries no other request, because a late copy would be taken for the response to that one. Empty
     * stands for true.
     */
    std::function<bool()> isDistinguishable = {};
};

class HttpClient;
class HttpClientConnection;

/** Handle of a call, which cancels the call when destroyed. Has no effect after the call has ended. */
class HttpCall
{
public:
    HttpCall() = default;
    HttpCall(std::shared_ptr<HttpClientConnection> connection, std::uint64_t callNumber);
    HttpCall(HttpCall &&other) noexcept = default;
    HttpCall &operator=(HttpCall &&other) noexcept;
    HttpCall(const HttpCall &) = delete;
    HttpCall &operator=(const HttpCall &) = delete;
    ~HttpCall();

    /** Closes the connection unless the call has ended. */
    void cancel();

private:
    std::shared_ptr<HttpClientConnection> connection;
    /** Number of this call on its connection, which distinguishes it from later calls on the same connection. */
    std::uint64_t callNumber = 0;
};

/** Timeouts and size limits of an HTTP client. */
struct HttpClientOptions {
    absl::Duration connectTimeout = absl::Milliseconds(800);
    /** Longest time for which an idle connection stays open; shorter if the Keep-Alive header of the peer says so. */
    absl::Duration idleTimeout = absl::Seconds(10);
    HttpBounds bounds{.headerBytes = 64 * 1024, .bodyBytes = 64 * 1024 * 1024};

    bool operator==(const HttpClientOptions &) const = default;
};

/** HTTP client on an EventLoop with a pool of persistent connections, each of which carries one request at a time. */
class HttpClient
{
public:
    HttpClient(EventLoop &loop, const HttpClientOptions &options);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /**
     * Sends @p request to @p address. Reuses a pooled connection only if it has been idle for no longer than @p maxIdleTime.
     * The callbacks of @p events are called from the loop, never from within this function.
     */
    [[nodiscard]] HttpCall send(const std::string &address,
                                const HttpRequest &request,
                                HttpCallEvents events,
                                absl::Duration maxIdleTime = absl::InfiniteDuration());
    /** Closes the idle connections to @p address. */
    void closeIdleConnections(const std::string &address);
    /** Number of connections that the client has tried to open since its start. */
    [[nodiscard]] std::uint64_t connectionsOpened() const;

private:
    friend class HttpClientConnection;

    void addIdle(const std::shared_ptr<HttpClientConnection> &connection);
    void removeIdle(const std::shared_ptr<HttpClientConnection> &connection);
    std::shared_ptr<HttpClientConnection> takeIdle(const std::string &address, absl::Duration maxIdleTime);

    EventLoop &loop;
    HttpClientOptions options;
    absl::flat_hash_map<std::string, std::list<std::shared_ptr<HttpClientConnection>>> idle;
    std::uint64_t openedConnections = 0;
};

} // namespace Bergamotramp
