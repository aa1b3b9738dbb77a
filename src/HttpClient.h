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

/** Why a call has no complete response. */
enum class HttpCallError {
    /** No connection could be opened, so the request was not sent. */
    NotSent,
    /** The connection ended after the request was sent, at least in part. */
    Broken,
    /** The peer sent bytes that are no response, or another length than it announced. */
    BadResponse,
};

/** What a call reports. After completed, or failed, or a cancel, nothing more is reported. */
struct HttpCallEvents {
    /** Whether a response belongs to this call; one that does not is skipped. May be empty. */
    std::function<bool(const HttpHead &)> belongs;
    std::function<void(const HttpHead &)> head;
    std::function<void(std::string_view)> body;
    std::function<void()> completed;
    std::function<void(HttpCallError)> failed;
};

class HttpClient;
class HttpClientConnection;

/** A call under way; cancelled when destroyed. The handle of a call that has ended does nothing. */
class HttpCall
{
public:
    HttpCall() = default;
    HttpCall(std::shared_ptr<HttpClientConnection> connection, std::uint64_t number);
    HttpCall(HttpCall &&other) noexcept = default;
    HttpCall &operator=(HttpCall &&other) noexcept;
    HttpCall(const HttpCall &) = delete;
    HttpCall &operator=(const HttpCall &) = delete;
    ~HttpCall();

    /** Closes the connection unless the call has ended. */
    void cancel();

private:
    std::shared_ptr<HttpClientConnection> connection;
    /** Which of the connection's calls this is. */
    std::uint64_t number = 0;
};

/** Bounds of an HTTP client. */
struct HttpClientOptions {
    absl::Duration connectTimeout = absl::Milliseconds(800);
    /** An idle connection is kept no longer than this, and less when the peer says so. */
    absl::Duration idleTimeout = absl::Seconds(10);
    HttpBounds bounds{.headerBytes = 64 * 1024, .bodyBytes = 64 * 1024 * 1024};

    bool operator==(const HttpClientOptions &) const = default;
};

/** Sends requests over kept connections, one request at a time on each. */
class HttpClient
{
public:
    HttpClient(EventLoop &loop, const HttpClientOptions &options);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /**
     * Sends @p request to @p address, over a kept connection only if it has been idle for no longer than @p longestIdle.
     * Events are reported from the loop, never from within this function.
     */
    [[nodiscard]] HttpCall send(const std::string &address,
                                const HttpRequest &request,
                                HttpCallEvents events,
                                absl::Duration longestIdle = absl::InfiniteDuration());
    /** Drops the idle connections to an address. */
    void forget(const std::string &address);
    [[nodiscard]] std::uint64_t connectionsOpened() const;

private:
    friend class HttpClientConnection;

    void keep(const std::shared_ptr<HttpClientConnection> &connection);
    void drop(const std::shared_ptr<HttpClientConnection> &connection);
    std::shared_ptr<HttpClientConnection> takeIdle(const std::string &address, absl::Duration longestIdle);

    EventLoop &loop;
    HttpClientOptions options;
    absl::flat_hash_map<std::string, std::list<std::shared_ptr<HttpClientConnection>>> idle;
    std::uint64_t opened = 0;
};

} // namespace Bergamotramp
