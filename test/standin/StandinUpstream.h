#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "EventLoop.h"
#include "HttpServer.h"

namespace Bergamotramp {

/** How the stand-in handles requests. */
enum class UpstreamMode {
    Serving,
    /** Responds with 503 and X-Not-Executed, which says that the request has not run. */
    Full,
    /** Runs the request and responds with 500. */
    Failing,
    /** Runs the request and responds with 422, which says that it can never succeed. */
    FailingPermanently,
    /** Runs the request and sends nothing. */
    Silent,
    /** Closes the connection after two events, in the middle of the third. */
    CutsStreams,
    /** Runs the request, then closes the connection without a response. */
    AnswersLost,
    /** Sends a body that holds no event, without end, until the caller disconnects. */
    EndlessBody,
    /** Sends one byte of an event after the other, eventInterval apart, and never completes it. */
    TrickledEvent,
};

/** Options of the stand-in. */
struct UpstreamOptions {
    std::string address = "127.0.0.1:0";
    /** Number of requests that run at once; further ones get the response of UpstreamMode::Full. 0 for no limit. */
    std::size_t slots = 0;
    /** Puts the request's id into each event or plain response, so that a test detects a response to another request. */
    bool tagsResponses = false;
    /** Version of its software, which its registration names. */
    std::string softwareVersion = "v1";
    /** Puts the software version into each event. */
    bool tagsVersion = false;
    /** Called for each request that runs, before any response is sent. May be empty. */
    std::function<void(const std::string &requestId)> onRun;
    /** Called for each request that arrives. May be empty. */
    std::function<void(const HttpRequest &)> onRequest{};
    /** Whether the upstream crashes when it would begin the answer to this request. May be empty. */
    std::function<bool(const HttpRequest &)> crashesOn{};
    /** Time from a crash until the upstream runs again, at another address and with a later start time. */
    absl::Duration restartDelay = absl::Seconds(1);
    /** Called when the upstream runs again after a crash. May be empty. */
    std::function<void()> onRestarted{};
};

/** Stand-in for a model engine or a plain service. Runs on the event loop of the code that creates it. */
class StandinUpstream
{
public:
    /** Responds to a request with a stream of @p events events, @p eventInterval apart, or as a plain service if @p events is 0. */
    StandinUpstream(EventLoop &loop, std::string id, int events, absl::Duration eventInterval, UpstreamOptions options = {});

    [[nodiscard]] std::string address() const;
    [[nodiscard]] const std::string &id() const;
    [[nodiscard]] const std::string &softwareVersion() const;
    /** Takes effect at once; the test has to register the upstream again or crash it. */
    void setSoftwareVersion(const std::string &version);
    void setMode(UpstreamMode mode);
    /** Whether each response states with Server-Leaving that the upstream leaves. Requests are still handled as the mode says. */
    void setLeaving(bool leaving);
    /** The requests per second that each response states as the limit for all hosts together. The stand-in does not enforce it. */
    void setLimit(std::optional<double> requestsPerSecond);
    /** Number of runs by request id. */
    [[nodiscard]] const std::map<std::string, int> &runs() const;
    /** Drops all connections and refuses new ones until it runs again after UpstreamOptions::restartDelay. */
    void crash();
    /** Drops all connections, as a failing network does; the upstream runs on. */
    void resetConnections();
    /** Whether a crash is followed by no restart yet. */
    [[nodiscard]] bool down() const;
    /** Number of starts, 1 at first; a restart increments it. */
    [[nodiscard]] int starts() const;
    /** Number of requests that have arrived, including those that were refused. */
    [[nodiscard]] std::size_t received() const;
    /** When each of these requests arrived. */
    [[nodiscard]] const std::vector<absl::Time> &arrivals() const;
    /** Number of requests that run now. */
    [[nodiscard]] std::size_t running() const;
    /** Bytes of all endless bodies. */
    [[nodiscard]] std::size_t endlessBytes() const;
    /** The text of one event. */
    static std::string eventData(int number);

private:
    struct Run {
        std::shared_ptr<HttpExchange> exchange;
        int nextEvent = 1;
        LoopTimer timer;
    };

    void listen(const std::string &address);
    void handle(const std::shared_ptr<HttpExchange> &exchange);
    void sendNextEvent(const std::shared_ptr<Run> &run);
    /** Sends @p bytes now and after each further @p interval, until the caller disconnects. */
    void sendForEver(const std::shared_ptr<Run> &run, const std::string &bytes, absl::Duration interval);
    void startStream(const std::shared_ptr<Run> &run);
    /** Refuses the request if it names another upstream or finds no free slot; returns whether it was refused. */
    bool refuse(const std::shared_ptr<HttpExchange> &exchange);
    /** Adds what the upstream states in all its responses. */
    [[nodiscard]] HttpFields withStatements(HttpFields fields) const;
    [[nodiscard]] std::string requestTag(const HttpRequest &request) const;
    [[nodiscard]] HttpFields responseFields(const HttpRequest &request) const;

    EventLoop &loop;
    std::string upstreamId;
    int events;
    absl::Duration eventInterval;
    UpstreamOptions options;
    UpstreamMode mode = UpstreamMode::Serving;
    bool leaving = false;
    std::optional<double> limit;
    std::vector<absl::Time> arrivalTimes;
    std::map<std::string, int> runCounts;
    std::set<std::shared_ptr<Run>> activeRuns;
    std::size_t endlessBytesSent = 0;
    int startCount = 1;
    LoopTimer restartTimer;
    std::string boundAddress;
    /** Null while the upstream is down. */
    std::shared_ptr<HttpServer> server;
};

} // namespace Bergamotramp
