#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "EventLoop.h"
#include "HttpServer.h"

namespace Bergamotramp {

/** What the stand-in does with the requests that it gets. */
enum class UpstreamMode {
    Serving,
    /** Refuses and says that the request has not run. */
    Full,
    /** Runs the request and answers 500. */
    Failing,
    /** The item can never be done. */
    Impossible,
    /** Takes the request and sends nothing. */
    Silent,
    /** Ends the connection after two events. */
    CutsStreams,
    /** Ends the connection after it has run the request. */
    AnswersLost,
};

/** How a stand-in serves. */
struct UpstreamOptions {
    std::string address = "127.0.0.1:0";
    /** Requests that run at once; more are refused as not run. 0 for no limit. */
    std::size_t slots = 0;
    /** Puts the request's id into each piece of its answer, so that a mixed-up answer shows. */
    bool tagged = false;
    /** Called before anything is sent for a request that runs. May be empty. */
    std::function<void(const std::string &requestId)> ran;
};

/** Stand-in for a model engine or a plain service, on an event loop of the caller. */
class StreamUpstream
{
public:
    /** @p events are sent in answer to a request, @p eventInterval apart; 0 events is a plain service. */
    StreamUpstream(EventLoop &loop, std::string id, int events, absl::Duration eventInterval, UpstreamOptions options = {});

    [[nodiscard]] std::string address() const;
    [[nodiscard]] const std::string &id() const;
    void setMode(UpstreamMode mode);
    /** Runs by request id. */
    [[nodiscard]] const std::map<std::string, int> &runs() const;
    /** Requests that it works on now. */
    [[nodiscard]] std::size_t running() const;
    /** The text of one event. */
    static std::string eventData(int number);

private:
    struct Run {
        std::shared_ptr<HttpExchange> exchange;
        int next = 1;
        LoopTimer timer;
    };

    void handle(const std::shared_ptr<HttpExchange> &exchange);
    void sendNext(const std::shared_ptr<Run> &run);
    [[nodiscard]] std::string tag(const HttpRequest &request) const;
    [[nodiscard]] HttpFields answerFields(const HttpRequest &request) const;

    EventLoop &loop;
    std::string upstreamId;
    int events;
    absl::Duration eventInterval;
    UpstreamOptions options;
    UpstreamMode mode = UpstreamMode::Serving;
    std::map<std::string, int> runCounts;
    std::set<std::shared_ptr<Run>> active;
    HttpServer server;
};

} // namespace Bergamotramp
