#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <absl/time/time.h>

#include "CallOutcome.h"

namespace httplib {
class Client;
}

namespace Bergamotramp {

/** A request to an upstream. */
struct UpstreamCall {
    std::string method = "POST";
    std::string path;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string contentType = "application/json";
    std::string body;
    /** The call ends when no byte arrives, or none can be sent, for this time. */
    absl::Duration silenceTimeout = absl::Seconds(10);

    bool operator==(const UpstreamCall &) const = default;
};

struct CallResult {
    CallOutcome outcome = CallOutcome::NotSent;
    int status = 0;
    std::string contentType;
    /** The response body; empty if a receiver got it in pieces. */
    std::string body;

    bool operator==(const CallResult &) const = default;
};

/** Result of a health check over a new connection. */
enum class ProbeResult {
    Healthy,
    /** The connection was refused: no process listens on the address. */
    Refused,
    /** No response arrived within the timeout, or its status was not 200. */
    Unresponsive,
};

/** Lets another thread cancel an operation. Thread-safe. */
class CallCancellation
{
public:
    /** Cancels the running call; a call that has not started yet won't be sent. */
    void cancel();
    [[nodiscard]] bool cancelled() const;

    /** Sets the action that cancel() runs until detach() is called. Returns false if cancel() was called before. */
    bool attach(std::function<void()> action);
    /** Removes the action. After the return it is not running and will not be run. */
    void detach();

private:
    mutable std::mutex mutex;
    std::function<void()> action;
    bool cancelRequested = false;
};

/** Blocking HTTP client for upstreams with a pool of persistent connections. Thread-safe. */
class UpstreamClient
{
public:
    struct Receiver {
        /** Called with the status and content type before the first piece of the body. */
        std::function<void(int, const std::string &)> headers;
        /** Called with each piece of the body; returns false to cancel the call. */
        std::function<bool(std::string_view)> data;
    };

    explicit UpstreamClient(absl::Duration connectTimeout);
    ~UpstreamClient();
    UpstreamClient(const UpstreamClient &) = delete;
    UpstreamClient &operator=(const UpstreamClient &) = delete;

    /** Sends a request and returns the response with its body. */
    CallResult call(const std::string &address, const UpstreamCall &call, CallCancellation &cancellation);
    /** Sends a request and passes the body of the response to @p receiver as it arrives. */
    CallResult stream(const std::string &address, const UpstreamCall &call, CallCancellation &cancellation, const Receiver &receiver);
    /** Sends GET /health on a new connection. */
    ProbeResult probe(const std::string &address, absl::Duration timeout);

private:
    std::unique_ptr<httplib::Client> acquire(const std::string &address);
    void release(const std::string &address, std::unique_ptr<httplib::Client> client);

    absl::Duration connectTimeout;
    std::mutex mutex;
    std::map<std::string, std::vector<std::unique_ptr<httplib::Client>>> idle;
};

} // namespace Bergamotramp
