#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <absl/time/time.h>

#include "CollectedBytes.h"
#include "EventStreamParser.h"
#include "FleetLoad.h"
#include "HttpClient.h"
#include "RetryPolicy.h"
#include "ServingProtocol.h"
#include "UpstreamHealth.h"

namespace Bergamotramp {

/** A response in which an upstream states itself that it leaves. */
struct LeavingStatement {
    /** The upstream to which the request was sent. */
    const UpstreamInfo &expected;
    /** Id of the upstream that sent the response, if the response names it; another one when the request was misdirected. */
    std::optional<std::string> sender;
};

/** What an answer of an upstream says of its limit for the requests of all hosts. */
struct LimitStatement {
    /** The upstream to which the request was sent and that answered it. */
    const UpstreamInfo &upstream;
    /** Requests per second; nothing when the upstream states no limit. */
    std::optional<double> requestsPerSecond;
};

/** Services of the entry host that UpstreamAttempt uses. */
struct AttemptContext {
    EventLoop &loop;
    HttpClient &client;
    FleetLoad &load;
    UpstreamHealth &health;
    const ServingProtocol &protocol;
    /** Counts the bodies that are collected by all attempts. */
    CollectedBytes &collectedBytes;
    /** Called for each response that states that its upstream leaves. May be empty. */
    std::function<void(const LeavingStatement &)> statedLeaving{};
    /** Called for each response of the expected upstream. May be empty. */
    std::function<void(const LimitStatement &)> statedLimit{};
    /** Called for each request that is sent to an upstream. May be empty. */
    std::function<void(const UpstreamInfo &)> requestSent{};
};

/** Outcome of an attempt and the response, if any. */
struct AttemptResult {
    AttemptOutcome outcome = AttemptOutcome::NotRun;
    /** The upstream's response, if it is complete. The body of a successful stream is reported as events instead. */
    HttpHead head{};
    std::string body{};
    /** Another upstream now has the address to which the request was sent. */
    bool misdirected = false;
    /** The connection was lost or could not be opened, so the upstream may have crashed. */
    bool connectionLost = false;
    /** Content of an answer has arrived: an event with content, or bytes of a body that is no stream. */
    bool answerBegun = false;

    bool operator==(const AttemptResult &) const = default;
};

/** One request sent to one upstream. Destroying it before its end cancels the request. */
class UpstreamAttempt
{
public:
    /** Size limit of a response that is collected before it is passed on, in bytes. */
    static constexpr std::size_t maxCollectedBytes = 8 * 1024 * 1024;

    struct Hooks {
        /** The head of a successful stream has arrived. */
        std::function<void(const HttpHead &)> streamStarted;
        std::function<void(const StreamEvent &)> event;
        /** Called once, as the last hook. */
        std::function<void(const AttemptResult &)> ended;
    };

    /** If @p stream is set, reports the events of a successful response one by one; otherwise collects the whole body. */
    UpstreamAttempt(const AttemptContext &context, UpstreamInfo upstream, bool batch, bool stream, Hooks hooks);
    ~UpstreamAttempt();
    UpstreamAttempt(const UpstreamAttempt &) = delete;
    UpstreamAttempt &operator=(const UpstreamAttempt &) = delete;

    /** @p repeatable tells whether the request may be sent again if its connection fails. */
    void send(const HttpRequest &request, const std::string &requestId, bool repeatable);
    /** Cancels the request. No hook is called afterwards. */
    void stop();
    /** Stops @p attempt and destroys it from the event loop, so that one of its own hooks may call this. */
    static void stopAndDestroyLater(EventLoop &loop, std::unique_ptr<UpstreamAttempt> attempt);
    [[nodiscard]] const UpstreamInfo &upstream() const;
    /**
     * When the response last made progress: a head, an event with content, or a part of a response that is no stream. Before that, when
     * the attempt was created. Bytes that complete no event are no progress.
     */
    [[nodiscard]] absl::Time lastActivity() const;

private:
    void onHead(const HttpHead &head);
    void reportIfLeaving(const HttpHead &head) const;
    void reportLimit(const HttpHead &head) const;
    /** Whether a further copy of the answer could be told from the answer to any later request on its connection. */
    [[nodiscard]] bool copyIsDistinguishable() const;
    void onBody(std::string_view bytes);
    /** Adds a part of a body that is no stream; returns false if the body is too large. */
    [[nodiscard]] bool collect(std::string_view bytes);
    /** Moves the body out and no longer counts its bytes. */
    std::string takeBody();
    void onCompleted();
    void onFailed(HttpCallError error);
    void onEvent(const StreamEvent &event);
    void finish(AttemptResult result);

    AttemptContext context;
    UpstreamInfo target;
    bool batch;
    bool stream;
    Hooks hooks;
    HttpHead head;
    std::string body;
    EventStreamParser events;
    bool streaming = false;
    bool answerBegun = false;
    /** Whether the load of the upstream still includes this attempt. */
    bool countedInLoad = true;
    absl::Time lastActivityAt;
    HttpCall call;
};

} // namespace Bergamotramp
