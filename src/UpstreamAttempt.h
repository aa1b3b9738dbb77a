#pragma once

#include <functional>
#include <memory>
#include <string>

#include <absl/time/time.h>

#include "EventStream.h"
#include "FleetLoad.h"
#include "HttpClient.h"
#include "RepeatPolicy.h"
#include "ServingProtocol.h"
#include "UpstreamHealth.h"

namespace Bergamotramp {

/** What attempts need of the host. */
struct AttemptContext {
    EventLoop &loop;
    HttpClient &client;
    FleetLoad &load;
    UpstreamHealth &health;
    const ServingProtocol &protocol;
};

/** How an attempt ended. */
struct AttemptResult {
    AttemptEnd end = AttemptEnd::NotRun;
    /** The upstream's answer, if there is a complete one. */
    HttpHead head{};
    std::string body{};
    /** The address belongs to another upstream now. */
    bool misdirected = false;
    /** The connection broke or could not be opened, so the upstream may have died. */
    bool disconnected = false;

    bool operator==(const AttemptResult &) const = default;
};

/** One request sent to one upstream. Cancels the request when destroyed before its end. */
class UpstreamAttempt
{
public:
    struct Hooks {
        /** A successful stream has begun. */
        std::function<void(const HttpHead &)> streamStarted;
        std::function<void(const StreamEvent &)> event;
        /** The last report. */
        std::function<void(const AttemptResult &)> ended;
    };

    /** @p stream asks for the events of successful answers one by one; other answers are collected whole. */
    UpstreamAttempt(const AttemptContext &context, UpstreamInfo upstream, bool batch, bool stream, Hooks hooks);
    ~UpstreamAttempt();
    UpstreamAttempt(const UpstreamAttempt &) = delete;
    UpstreamAttempt &operator=(const UpstreamAttempt &) = delete;

    /** @p repeatable tells whether the request may be sent again when its connection fails. */
    void send(const HttpRequest &request, const std::string &requestId, bool repeatable);
    /** Cancels the request and reports nothing more. */
    void stop();
    /** Stops @p attempt and destroys it later, so that it may be given up in one of its own hooks. */
    static void retire(EventLoop &loop, std::unique_ptr<UpstreamAttempt> attempt);
    [[nodiscard]] const UpstreamInfo &upstream() const;
    /** When the upstream last sent something for this request, or when it was sent. */
    [[nodiscard]] absl::Time lastProgress() const;

private:
    void onHead(const HttpHead &head);
    void onBody(std::string_view bytes);
    void onCompleted();
    void onFailed(HttpCallError error);
    void finish(AttemptResult result);

    AttemptContext context;
    UpstreamInfo target;
    bool batch;
    bool stream;
    Hooks hooks;
    HttpHead head;
    std::string body;
    EventStream events;
    bool streaming = false;
    bool counted = true;
    absl::Time progress;
    HttpCall call;
};

} // namespace Bergamotramp
