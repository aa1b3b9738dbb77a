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

/** One call of an upstream. */
struct UpstreamCall {
    std::string method = "POST";
    std::string path;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string contentType = "application/json";
    std::string body;
    /** The longest silence on the connection before it is given up. */
    absl::Duration silenceTimeout = absl::Seconds(10);

    bool operator==(const UpstreamCall &) const = default;
};

struct CallResult {
    CallOutcome outcome = CallOutcome::NotSent;
    int status = 0;
    std::string contentType;
    /** The response body, unless a receiver took it piece by piece. */
    std::string body;

    bool operator==(const CallResult &) const = default;
};

/** What a new connection to an upstream shows. */
enum class ProbeResult {
    Healthy,
    /** Nothing listens at the address: the process is gone. */
    Refused,
    /** No usable answer within the timeout. */
    Unresponsive,
};

/** Cancels what one piece of work is doing, from another thread. */
class CallCancellation
{
public:
    /** Ends the running call; a call that has not started yet won't be sent. */
    void cancel();
    [[nodiscard]] bool cancelled() const;

    /** Makes cancel() run @p action until detach(); returns false when it has been cancelled already. */
    bool attach(std::function<void()> action);
    /** After it returns, the action neither runs nor will run. */
    void detach();

private:
    mutable std::mutex mutex;
    std::function<void()> action;
    bool requested = false;
};

/** HTTP client of upstreams with kept connections. Thread-safe. */
class UpstreamClient
{
public:
    struct Receiver {
        /** Status and content type, before the first piece of the body. */
        std::function<void(int, const std::string &)> headers;
        /** A piece of the body; returning false cancels the call. */
        std::function<bool(std::string_view)> data;
    };

    explicit UpstreamClient(absl::Duration connectTimeout);
    ~UpstreamClient();
    UpstreamClient(const UpstreamClient &) = delete;
    UpstreamClient &operator=(const UpstreamClient &) = delete;

    /** Runs a call and collects the body. */
    CallResult call(const std::string &address, const UpstreamCall &call, CallCancellation &cancellation);
    /** Runs a call and passes the body on as it arrives. */
    CallResult stream(const std::string &address, const UpstreamCall &call, CallCancellation &cancellation, const Receiver &receiver);
    /** Asks for GET /health on a new connection. */
    ProbeResult probe(const std::string &address, absl::Duration timeout);

private:
    std::unique_ptr<httplib::Client> acquire(const std::string &address);
    void giveBack(const std::string &address, std::unique_ptr<httplib::Client> client);

    absl::Duration connectTimeout;
    std::mutex mutex;
    std::map<std::string, std::vector<std::unique_ptr<httplib::Client>>> idle;
};

} // namespace Bergamotramp
