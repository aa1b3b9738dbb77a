#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "CrashSuspects.h"
#include "EntryMetrics.h"
#include "HttpServer.h"
#include "JsonLog.h"
#include "RepeatPolicy.h"
#include "ServingProtocol.h"
#include "UpstreamAttempt.h"
#include "UpstreamChoice.h"

namespace Bergamotramp {

/** What calls need of the host. */
struct OnlineContext {
    AttemptContext attempts;
    const UpstreamChoice &choice;
    const UpstreamTable &upstreams;
    CrashSuspects &suspects;
    JsonLog &log;
    EntryMetrics &metrics;
    /** Crash counts that this host has raised. */
    std::function<void(const std::vector<std::pair<std::uint64_t, std::uint32_t>> &)> crashed;
};

/** One online request from its arrival to the end of its answer, over all its attempts. */
class OnlineCall : public std::enable_shared_from_this<OnlineCall>
{
public:
    /** @p service is the target that was chosen for this call; @p ended is called once, at the end. */
    OnlineCall(
        const OnlineContext &context, std::shared_ptr<HttpExchange> exchange, CallerCall call, Route route, std::string service, std::function<void()> ended);

    void start();
    /** Replaces an attempt whose upstream has been silent for too long. */
    void checkProgress(absl::Time now);

private:
    void attemptNext();
    void send(const UpstreamInfo &upstream);
    void onStreamStarted(const HttpHead &head);
    void onEvent(const StreamEvent &event);
    void onAttemptEnded(const AttemptResult &result);
    void noteCrash(const AttemptResult &result);
    void finishStream();
    void deliver(const AttemptResult &result);
    void giveUp(const std::string &reason);
    void expire();
    void callerLeft();
    void answer(const HttpResponse &response, const std::string &reason);
    void end(int status, const std::string &reason);
    [[nodiscard]] absl::Duration silenceLimit(absl::Time now) const;
    [[nodiscard]] absl::Duration retryAfter() const;

    OnlineContext context;
    std::shared_ptr<HttpExchange> exchange;
    CallerCall call;
    Route route;
    std::string service;
    std::function<void()> ended;
    absl::Time deadline;
    RepeatPolicy policy;
    std::uint64_t fingerprint;
    std::set<std::string> tried;
    std::unique_ptr<UpstreamAttempt> attempt;
    std::optional<std::uint64_t> lastEvent;
    HttpHead streamHead;
    int attempts = 0;
    bool finished = false;
    LoopTimer deadlineTimer;
};

} // namespace Bergamotramp
