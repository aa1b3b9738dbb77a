#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include <absl/time/time.h>

#include "EventLoop.h"
#include "HttpClient.h"

namespace Bergamotramp {

/** Sends requests to other hosts, each with a time-out. */
class PeerClient
{
public:
    /** Gets std::nullopt when there is no complete answer. */
    using AnswerHandler = std::function<void(const std::optional<HttpResponse> &)>;

    explicit PeerClient(EventLoop &loop);
    /** Cancels the requests in progress; their handlers are not called. */
    ~PeerClient();
    PeerClient(const PeerClient &) = delete;
    PeerClient &operator=(const PeerClient &) = delete;

    /** @p address is the control address of the other host. */
    void send(const std::string &address, const HttpRequest &request, absl::Duration timeout, AnswerHandler done);

private:
    struct Call {
        HttpCall call;
        LoopTimer timer;
    };

    EventLoop &loop;
    HttpClient client;
    std::uint64_t callNumber = 0;
    /** Requests in progress; each removes itself when it ends. */
    std::set<std::shared_ptr<Call>> calls;
};

} // namespace Bergamotramp
