#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "CrashQuarantine.h"
#include "EntryMetrics.h"
#include "HttpServer.h"
#include "JsonLog.h"
#include "RetryPolicy.h"
#include "ServingProtocol.h"
#include "UpstreamAttempt.h"
#include "UpstreamSelector.h"

namespace Bergamotramp {

/** Services of the entry host that OnlineCall uses. */
struct OnlineContext {
    AttemptContext attempts;
    const UpstreamSelector &choice;
    const UpstreamTable &upstreams;
    CrashQuarantine &suspects;
    JsonLog &log;
    EntryMetrics &metrics;
    /** Announces changed crash counts of request fingerprints to the other hosts; 0 when the request has completed. */
    std::function<void(const std::vector<std::pair<std::uint64_t, std::uint32_t>> &)> announceCrashes;
};

/** One online request, from its arrival to the end of its response, over all its attempts at upstreams. */
class OnlineCall : public std::enable_shared_from_this<OnlineCall>
{
public:
    /** @p service is the route's target chosen for this call. @p onEnded is called once, when the call has ended. */
    OnlineCall(
        const OnlineContext &context, std::shared_ptr<HttpExchange> exchange, CallerCall call, Route route, std::string service, std::function<void()> onEnded);

    void start();
    /** Sends the request to another upstream if the current one has been silent for too long. Called periodically. */
    void checkProgress(absl::Time now);

private:
    void startNextAttempt();
    void startAttempt(const UpstreamInfo &upstream);
    void onStreamStarted(const HttpHead &head);
    void onEvent(const StreamEvent &event);
    void onAttemptEnded(const AttemptResult &result);
    /** Whether the upstream may have crashed before it began the answer. */
    [[nodiscard]] static bool lostBeforeAnswer(const AttemptResult &result);
    void updateCrashRecord(const AttemptResult &result, const std::string &upstream);
    void finishStream();
    void deliverResponse(const AttemptResult &result);
    /** Ends the call without an upstream's response: aborts a started response, else answers with an error of this host. */
    void giveUp(const std::string &reason);
    void onDeadline();
    void onCallerDisconnected();
    void answer(const HttpResponse &response, const std::string &reason);
    void end(int status, const std::string &reason);
    /** How long the current upstream may be silent before it is replaced. */
    [[nodiscard]] absl::Duration silenceLimit(absl::Time now) const;
    [[nodiscard]] absl::Duration retryAfter() const;

    OnlineContext context;
    std::shared_ptr<HttpExchange> exchange;
    CallerCall call;
    Route route;
    std::string service;
    std::function<void()> onEnded;
    absl::Time deadline;
    RetryPolicy retryPolicy;
    /** Hash of the request's target and body. */
    std::uint64_t fingerprint;
    std::set<std::string> triedUpstreams;
    std::unique_ptr<UpstreamAttempt> attempt;
    absl::Time attemptStarted = absl::InfinitePast();
    std::optional<std::uint64_t> lastEventId;
    /** Response head of the stream, kept until its first event. */
    HttpHead streamHead;
    int attempts = 0;
    bool finished = false;
    LoopTimer deadlineTimer;
};

} // namespace Bergamotramp
